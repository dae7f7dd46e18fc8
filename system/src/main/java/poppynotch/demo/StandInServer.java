package poppynotch.demo;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A simulated model server. It registers with the control plane, and answers requests and streams
 * events according to the published protocol. It has its own threads, which {@link #close} stops.
 */
final class StandInServer implements AutoCloseable {

    private static final int EVENTS_PER_STREAM = 8;
    private static final int THREAD_COUNT = 8;
    private static final int REGISTRATION_INTERVAL_MS = 400;

    private final String id;
    private final String backend;
    private final boolean streams;
    private final List<String> controlAddresses;
    private final HttpServer http;
    private final ScheduledExecutorService executor =
            Executors.newScheduledThreadPool(
                    THREAD_COUNT,
                    task -> {
                        Thread thread = new Thread(task, "stand-in");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger servedCount = new AtomicInteger();

    StandInServer(
            String id, String backend, boolean streams, String ip, List<String> controlAddresses)
            throws IOException {
        this.id = id;
        this.backend = backend;
        this.streams = streams;
        this.controlAddresses = controlAddresses;
        http = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        http.setExecutor(executor);
        http.createContext("/", this::serve);
    }

    /** Starts serving requests and registering periodically. */
    void start() {
        http.start();
        executor.scheduleWithFixedDelay(
                () -> register("ready"), 0, REGISTRATION_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** The number of requests served so far. */
    int servedCount() {
        return servedCount.get();
    }

    /** Registers at the first control-plane replica that accepts the registration. */
    private void register(String state) {
        InetSocketAddress listenAddress = http.getAddress();
        String body =
                "{\"Backend\":\""
                        + backend
                        + "\",\"Address\":\""
                        + listenAddress.getAddress().getHostAddress()
                        + ":"
                        + listenAddress.getPort()
                        + "\",\"Zone\":\"demo\",\"Generation\":\"v1\",\"Slots\":8,\"State\":\""
                        + state
                        + "\",\"ColdRemainingMs\":0,\"Sequence\":"
                        + sequence.incrementAndGet()
                        + "}";
        for (String address : controlAddresses) {
            try {
                if (HttpCall.of("PUT", "http://" + address + "/poppynotch/instances/" + id)
                                .body(body)
                                .send()
                                .status()
                        == HttpCall.STATUS_OK) {
                    return;
                }
            } catch (IOException e) {
                // The next control-plane replica is tried.
            }
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            String attemptId = exchange.getRequestHeaders().getFirst("X-Poppynotch-Attempt-Id");
            exchange.getResponseHeaders()
                    .set("X-Poppynotch-Attempt-Id", attemptId == null ? "" : attemptId);
            exchange.getResponseHeaders().set("X-Poppynotch-Response-Seal", id);
            exchange.getResponseHeaders().set("X-Poppynotch-Server-Load", "1,0,8");
            servedCount.incrementAndGet();
            if (streams) {
                streamEvents(exchange);
            } else {
                byte[] body = ("served by " + id).getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(HttpCall.STATUS_OK, body.length);
                exchange.getResponseBody().write(body);
            }
        }
    }

    private static void streamEvents(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(HttpCall.STATUS_OK, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int event = 1; event <= EVENTS_PER_STREAM; event++) {
                out.write(("id: " + event + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    @Override
    public void close() {
        http.stop(0);
        executor.shutdownNow();
    }
}
