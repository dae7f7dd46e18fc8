package poppynotch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server whose connections are established late: until {@link #open} its accept queue is full,
 * and the system drops the SYN of each further connect, which the peer sends again a second later.
 */
final class LateEndpoint implements Closeable {

    private final ServerSocket listener;
    private final List<Socket> queueFillers = new ArrayList<>();
    final List<String> requests = new CopyOnWriteArrayList<>();

    LateEndpoint() throws IOException {
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        boolean full = false;
        while (!full) {
            Socket next = new Socket();
            try {
                next.connect(
                        new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()),
                        500);
                queueFillers.add(next);
            } catch (java.net.SocketTimeoutException e) {
                next.close();
                full = true;
            }
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Whether a connect is in progress, its SYN dropped: state 2 in the system's TCP table. */
    boolean hasConnectInProgress() {
        String to = String.format(Locale.ROOT, "0100007F:%04X 02 ", listener.getLocalPort());
        try {
            return RawHttpConnection.systemTcpTable().contains(to);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Lets connects succeed, at their next SYN; requests are recorded and served. */
    void open() {
        Thread accepting =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    RawHttpConnection connection =
                                            new RawHttpConnection(listener.accept());
                                    Thread serving = new Thread(() -> serve(connection), "late");
                                    serving.setDaemon(true);
                                    serving.start();
                                }
                            } catch (IOException e) {
                                // The test is over.
                                return;
                            }
                        },
                        "late");
        accepting.setDaemon(true);
        accepting.start();
    }

    private void serve(RawHttpConnection connection) {
        try (connection) {
            while (true) {
                requests.add(connection.read().line());
                FakeEndpoint.answer(connection, 200, "", "late");
            }
        } catch (IOException e) {
            // The connection has ended.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : queueFillers) {
            socket.close();
        }
        listener.close();
    }
}
