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

/** A server on a real socket that does with each request what its script says next. */
final class ScriptedServer implements AutoCloseable {

    /** What is done with one request. */
    interface Step {
        /** {@code head} is the request's head; false ends the connection. */
        boolean serve(String head, OutputStream out, Socket socket) throws IOException;
    }

    private final ServerSocket listener;
    private final BlockingQueue<Step> script = new LinkedBlockingQueue<>();
    final List<String> heads = new CopyOnWriteArrayList<>();
    final BlockingQueue<String> ended = new LinkedBlockingQueue<>();

    ScriptedServer(Step... steps) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        script.addAll(List.of(steps));
        thread(this::accept);
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void then(Step step) {
        script.add(step);
    }

    /** What is done with the next request, whatever was to be done before. */
    void replaceScript(Step step) {
        script.clear();
        script.add(step);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                thread(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean goOn = true;
            while (goOn) {
                String head = readHead(in);
                if (head == null) {
                    break;
                }
                in.readNBytes(length(head));
                heads.add(head);
                Step step = script.poll();
                goOn = step != null && step.serve(head, socket.getOutputStream(), socket);
            }
        } catch (IOException e) {
            // The other side left.
        } finally {
            ended.add("connection");
        }
    }

    /** The head of a request, or null at the end. */
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

    private static int length(String head) {
        String value = header(head, "content-length");
        return value == null ? 0 : Integer.parseInt(value);
    }

    /** A header of a request's head, or null. */
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

    private static String top(String head, String status, String headers) {
        return "HTTP/1.1 "
                + status
                + "\r\nX-Poppynotch-Attempt-Id: "
                + header(head, "X-Poppynotch-Attempt-Id")
                + "\r\n"
                + headers;
    }

    /** A whole answer; the connection goes on. */
    static Step answer(String status, String headers, String body) {
        return (head, out, socket) -> {
            write(
                    out,
                    top(head, status, headers)
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
            return true;
        };
    }

    /** A whole answer with the server's seal. */
    static Step ok(String body) {
        return answer("200 OK", "X-Poppynotch-Response-Seal: s\r\n", body);
    }

    /** Bytes as they are; then the connection ends. */
    static Step raw(String text) {
        return (head, out, socket) -> {
            write(out, text);
            return false;
        };
    }

    /** An answer without a length, which ends with its connection: in good order, or by a reset. */
    static Step unframed(boolean reset, String body) {
        return (head, out, socket) -> {
            write(
                    out,
                    top(
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

    /** The connection is reset with the request read. */
    static Step reset() {
        return (head, out, socket) -> {
            socket.setSoLinger(true, 0);
            return false;
        };
    }

    /** A stream of events, each as one chunk; it ends well or with the connection. */
    static Step events(boolean endsWell, String... chunks) {
        return (head, out, socket) -> {
            StringBuilder text =
                    new StringBuilder(
                            top(
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
            write(out, text + (endsWell ? "0\r\n\r\n" : ""));
            return endsWell;
        };
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
