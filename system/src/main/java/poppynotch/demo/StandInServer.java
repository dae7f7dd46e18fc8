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
 * A stand-in for a server: it registers, answers calls and streams events after the published
 * protocol.
 */
final class StandInServer implements AutoCloseable {

    private static final int EVENTS = 8;
    private static final int THREADS = 8;
    private static final int BEAT_MS = 400;

    private final String id;
    private final String backend;
    private final boolean streams;
    private final List<String> controls;
    private final HttpServer http;
    private final ScheduledExecutorService threads =
            Executors.newScheduledThreadPool(
                    THREADS,
                    work -> {
                        Thread thread = new Thread(work, "stand-in");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger served = new AtomicInteger();

    StandInServer(String id, String backend, boolean streams, String ip, List<String> controls)
            throws IOException {
        this.id = id;
        this.backend = backend;
        this.streams = streams;
        this.controls = controls;
        http = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        http.setExecutor(threads);
        http.createContext("/", this::serve);
    }

    void start() {
        http.start();
        threads.scheduleWithFixedDelay(() -> register("ready"), 0, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Requests that it has run. */
    int served() {
        return served.get();
    }

    private void register(String state) {
        InetSocketAddress own = http.getAddress();
        String body =
                "{\"Backend\":\""
                        + backend
                        + "\",\"Address\":\""
                        + own.getAddress().getHostAddress()
                        + ":"
                        + own.getPort()
                        + "\",\"Zone\":\"demo\",\"Generation\":\"v1\",\"Slots\":8,\"State\":\""
                        + state
                        + "\",\"ColdRemainingMs\":0,\"Sequence\":"
                        + sequence.incrementAndGet()
                        + "}";
        for (String control : controls) {
            try {
                if (HttpCall.of("PUT", "http://" + control + "/poppynotch/instances/" + id)
                                .body(body)
                                .send()
                                .status()
                        == HttpCall.OK) {
                    return;
                }
            } catch (IOException e) {
                // The next core process is called.
            }
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            String attempt = exchange.getRequestHeaders().getFirst("X-Poppynotch-Attempt-Id");
            exchange.getResponseHeaders()
                    .set("X-Poppynotch-Attempt-Id", attempt == null ? "" : attempt);
            exchange.getResponseHeaders().set("X-Poppynotch-Response-Seal", id);
            exchange.getResponseHeaders().set("X-Poppynotch-Server-Load", "1,0,8");
            served.incrementAndGet();
            if (streams) {
                stream(exchange);
            } else {
                byte[] body = ("served by " + id).getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(HttpCall.OK, body.length);
                exchange.getResponseBody().write(body);
            }
        }
    }

    private static void stream(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(HttpCall.OK, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int event = 1; event <= EVENTS; event++) {
                out.write(("id: " + event + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    @Override
    public void close() {
        http.stop(0);
        threads.shutdownNow();
    }
}
