package poppynotch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on loopback that handles each request by the test's script. */
class FakeEndpoint implements Closeable {

    /** How to handle a request, on the thread of its connection. */
    interface Script {
        void onRequest(RawHttpConnection connection, RawHttpConnection.Message request)
                throws Exception;
    }

    final ServerSocket listener;
    final List<RawHttpConnection.Message> requests = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger open = new AtomicInteger();
    volatile Script script;
    private final Thread accepting;

    FakeEndpoint(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        accepting = start(this::accept);
    }

    static FakeEndpoint answering(int status, String headers, String body) throws IOException {
        return new FakeEndpoint((connection, request) -> answer(connection, status, headers, body));
    }

    static void answer(RawHttpConnection connection, int status, String headers, String body)
            throws IOException {
        connection.send(
                "HTTP/1.1 "
                        + status
                        + " x\r\n"
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                open.incrementAndGet();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test is over.
            return;
        }
    }

    private void serve(Socket socket) {
        try (RawHttpConnection connection = new RawHttpConnection(socket)) {
            serve(connection);
        } catch (Exception e) {
            // The connection has ended, which the counter shows.
            return;
        } finally {
            open.decrementAndGet();
        }
    }

    /** Reads requests on one connection and runs the script for each, until it ends. */
    void serve(RawHttpConnection connection) throws Exception {
        while (true) {
            RawHttpConnection.Message request = connection.read();
            requests.add(request);
            script.onRequest(connection, request);
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "fake");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits for the accepting thread, as the system establishes connections until it has left. */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
