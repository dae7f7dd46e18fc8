package poppynotch.router;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** A server on a real socket that handles each request with the next step of its script. */
final class ScriptedServer implements AutoCloseable {

    /** Handles one request. */
    interface Step {
        /** Handles the request with this head; returns false to close the connection. */
        boolean serve(String head, OutputStream out, Socket socket) throws IOException;
    }

    private final ServerSocket listener;
    private final BlockingQueue<Step> script = new LinkedBlockingQueue<>();
    final List<String> requestHeads = new CopyOnWriteArrayList<>();
    final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();

    ScriptedServer(Step... steps) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        script.addAll(List.of(steps));
        startThread(this::accept);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void enqueue(Step step) {
        script.add(step);
    }

    /** Replaces all remaining steps with a single one. */
    void replaceScript(Step step) {
        script.clear();
        script.add(step);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean keepOpen = true;
            while (keepOpen) {
                String head = readHead(in);
                if (head == null) {
                    break;
                }
                in.readNBytes(contentLength(head));
                requestHeads.add(head);
                Step step = script.poll();
                keepOpen = step != null && step.serve(head, socket.getOutputStream(), socket);
            }
        } catch (IOException e) {
            // The peer closed the connection.
        } finally {
            closedConnections.add("connection");
        }
    }

    /** Reads the head of a message; null at the end of the input. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static int contentLength(String head) {
        String value = header(head, "content-length");
        return value == null ? 0 : Integer.parseInt(value);
    }

    /** The value of a header, or null. */
    static String header(String head, String name) {
        return head.lines()
                .filter(
                        line ->
                                line.toLowerCase(Locale.ROOT)
                                        .startsWith(name.toLowerCase(Locale.ROOT) + ":"))
                .map(line -> line.substring(line.indexOf(':') + 1).trim())
                .findFirst()
                .orElse(null);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String responseHead(String head, String status, String headers) {
        return "HTTP/1.1 "
                + status
                + "\r\nX-Poppynotch-Attempt-Id: "
                + header(head, "X-Poppynotch-Attempt-Id")
                + "\r\n"
                + headers;
    }

    /** Sends a complete response and keeps the connection open. */
    static Step response(String status, String headers, String body) {
        return (head, out, socket) -> {
            write(
                    out,
                    responseHead(head, status, headers)
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
            return true;
        };
    }

    /** Sends a complete response with the seal header. */
    static Step ok(String body) {
        return response("200 OK", "X-Poppynotch-Response-Seal: s\r\n", body);
    }

    /** Writes raw bytes and closes the connection. */
    static Step rawBytes(String text) {
        return (head, out, socket) -> {
            write(out, text);
            return false;
        };
    }

    /** Sends a response without a length and ends the connection in order or with a reset. */
    static Step unframed(boolean reset, String body) {
        return (head, out, socket) -> {
            write(
                    out,
                    responseHead(
                                    head,
                                    "200 OK",
                                    "X-Poppynotch-Response-Seal: s\r\nConnection: close\r\n\r\n")
                            + body);
            if (reset) {
                socket.setSoLinger(true, 0);
            }
            return false;
        };
    }

    /** Reads the request and resets the connection. */
    static Step reset() {
        return (head, out, socket) -> {
            socket.setSoLinger(true, 0);
            return false;
        };
    }

    /** Sends a chunked event stream, which is complete or truncated by closing the connection. */
    static Step events(boolean complete, String... chunks) {
        return (head, out, socket) -> {
            StringBuilder text =
                    new StringBuilder(
                            responseHead(
                                    head,
                                    "200 OK",
                                    "X-Poppynotch-Response-Seal: s\r\n"
                                            + "Content-Type: text/event-stream\r\n"
                                            + "Transfer-Encoding: chunked\r\n\r\n"));
            for (String chunk : chunks) {
                text.append(Integer.toHexString(chunk.length()))
                        .append("\r\n")
                        .append(chunk)
                        .append("\r\n");
            }
            write(out, text + (complete ? "0\r\n\r\n" : ""));
            return complete;
        };
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
