package poppynotch.scale;

import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Servers that register and serve nothing. */
final class HollowServers implements AutoCloseable {

    private static final int THREADS = 8;
    private static final int TIMEOUT_MS = 1000;
    private static final int OK = 200;

    private final List<String> controls;
    private final ScheduledExecutorService threads = Executors.newScheduledThreadPool(THREADS);
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();

    HollowServers(List<String> controls, int count, int heartbeatMs) {
        this.controls = controls;
        for (int i = 0; i < count; i++) {
            int number = i;
            threads.scheduleAtFixedRate(
                    () -> register(number),
                    (long) heartbeatMs * i / count,
                    heartbeatMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    static String id(int number) {
        return "i-" + number;
    }

    private void register(int number) {
        String body =
                "{\"Backend\":\"model\",\"Address\":\"127.78.200.1:"
                        + (1000 + number)
                        + "\",\"Zone\":\"z\",\"Slots\":64,\"State\":\"ready\",\"Sequence\":"
                        + sequence.incrementAndGet()
                        + "}";
        for (int i = 0; i < controls.size(); i++) {
            if (call(controls.get((number + i) % controls.size()), "PUT", number, body)) {
                return;
            }
        }
        failed.incrementAndGet();
    }

    /** A server says that it ends. */
    boolean leave(int number) {
        return call(controls.get(0), "DELETE", number, null);
    }

    private static boolean call(String control, String method, int number, String body) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://" + control + "/poppynotch/instances/" + id(number))
                                    .toURL()
                                    .openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout(TIMEOUT_MS);
            connection.setReadTimeout(TIMEOUT_MS);
            if (body != null) {
                connection.setDoOutput(true);
                try (OutputStream out = connection.getOutputStream()) {
                    out.write(body.getBytes(StandardCharsets.UTF_8));
                }
            }
            boolean good = connection.getResponseCode() == OK;
            (good ? connection.getInputStream() : connection.getErrorStream()).readAllBytes();
            return good;
        } catch (IOException e) {
            return false;
        }
    }

    /** Registrations that no core process took. */
    long failed() {
        return failed.get();
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
