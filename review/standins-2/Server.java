package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A model server: registers with the control plane by heartbeats, runs the requests that name it,
 * answers 421 to others, and notes each run. What it answers is up to its {@link Work}.
 */
final class Server implements AutoCloseable {

    /** Runs one request and writes its answer. */
    interface Work {
        void run(Server server, Http.Message request, OutputStream out) throws IOException;
    }

    final Stage stage;
    final String id;
    final String backend;
    private final int slots;
    private final List<InetSocketAddress> controls;
    private final ServerSocket listening;
    private final Work work;
    private final AtomicLong sequence = new AtomicLong();
    private final int heartbeatMs;
    volatile boolean closed;
    volatile boolean beating = true;

    Server(Stage stage, String id, String backend, String ip, int slots, int heartbeatMs, Work work)
            throws IOException {
        this.stage = stage;
        this.id = id;
        this.backend = backend;
        this.slots = slots;
        this.work = work;
        this.heartbeatMs = heartbeatMs;
        controls = stage.controls();
        listening = new ServerSocket(0, 1000, InetAddress.getByName(ip));
        start(this::accept);
    }

    Server beat() {
        start(this::heartbeats);
        return this;
    }

    String address() {
        return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void heartbeats() {
        int target = Math.floorMod(id.hashCode(), controls.size());
        while (!closed) {
            if (beating) {
                target = register(target);
            }
            Stage.sleep(heartbeatMs);
        }
    }

    /** Sends one heartbeat, to the next process after a failure; returns the one that answered. */
    int register(int first) {
        for (int n = 0; n < controls.size(); n++) {
            int target = (first + n) % controls.size();
            if (put(controls.get(target), sequence.incrementAndGet())) {
                return target;
            }
        }
        return first;
    }

    boolean put(InetSocketAddress control, long number) {
        String json =
                "{\"Backend\":\"" + backend + "\",\"Address\":\"" + address() + "\",\"Zone\":\"z\",\"Generation\":\"v1\",\"Slots\":"
                         + slots + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":" + number + "}";
        return call(control, "PUT", json);
    }

    boolean delete(InetSocketAddress control) {
        return call(control, "DELETE", "");
    }

    private boolean call(InetSocketAddress control, String method, String json) {
        try {
            return Http.call(
                                    control,
                                    method,
                                    "/poppynotch/instances/" + id,
                                    Map.of("Host", "control", "Content-Type", "application/json"),
                                    json.getBytes(),
                                    1000)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listening.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Thrown by {@link Work} to reset the connection; any other failure closes it in order. */
    static final class Reset extends IOException {
        private static final long serialVersionUID = 1;
    }

    private void serve(Socket socket) {
        try (socket) {
            serveRequests(socket);
        } catch (IOException e) {
            // The caller, or the work, has ended the connection.
        }
    }

    private void serveRequests(Socket socket) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (!socket.isClosed()) {
                Http.Message request = Http.read(in);
                String expected = request.headers().get("x-poppynotch-expect-instance");
                if (expected != null && !expected.equals(id)) {
                    Map<String, String> headers = headers(request);
                    headers.put("X-Poppynotch-Not-Executed", "1");
                    out.write(Http.head("HTTP/1.1 421 Misdirected Request", headers, 0));
                } else {
                    work.run(this, request, out);
                }
                out.flush();
            }
        } catch (Reset e) {
            socket.setSoLinger(true, 0);
        }
    }

    /** The headers that every answer of a server carries. */
    static Map<String, String> headers(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Poppynotch-Attempt-Id", request.headers().getOrDefault("x-poppynotch-attempt-id", ""));
        headers.put("X-Poppynotch-Response-Seal", "seal-" + Long.toHexString(System.nanoTime()));
        return headers;
    }

    /** Answers 200 after some time, with the id of this server as the body. */
    static Work answerAfter(long ms) {
        return (server, request, out) -> {
            server.stage.note(
                    "server " + server.id + " runs " + request.headers().get("x-poppynotch-attempt-id")
                            + " (" + request.firstLine() + ")");
            Stage.sleep(ms);
            byte[] body = server.id.getBytes();
            out.write(Http.head("HTTP/1.1 200 OK", headers(request), body.length));
            out.write(body);
        };
    }

    /** Answers with a whole stream of some events. */
    static Work stream(int events) {
        return (server, request, out) -> {
            server.stage.note(
                    "server " + server.id + " runs " + request.headers().get("x-poppynotch-attempt-id") + " for tenant "
                            + request.headers().get("x-poppynotch-tenant"));
            StringBuilder text = new StringBuilder();
            for (int i = 1; i <= events; i++) {
                text.append("id: ").append(i).append("\ndata: ").append(server.id).append("\n\n");
            }
            Map<String, String> headers = headers(request);
            headers.put("Content-Type", "text/event-stream");
            out.write(Http.head("HTTP/1.1 200 OK", headers, text.length()));
            out.write(text.toString().getBytes());
        };
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listening.close();
    }
}
