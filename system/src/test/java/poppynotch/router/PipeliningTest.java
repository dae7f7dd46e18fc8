package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections of clients on real sockets: requests sent ahead, and the end of a connection. */
class PipeliningTest extends ExchangeHarness {

    private static final int READ_TIMEOUT_MS = 20_000;

    /** Small, so that much of a long response is still to be sent when it has been written. */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private static final String UNKNOWN_ROUTE = "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String SLOW_CALL =
            "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Poppynotch-Attempt-Id: %s\r\n\r\n";

    private Channel listener;

    /** Listens as the edge's process does; returns a client's connection. */
    private Socket connect() throws Exception {
        listener =
                new ServerBootstrap()
                        .group(edge.loop())
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        EdgeServer.initClientChannel(channel, edge);
                                    }
                                })
                        .bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
                        .sync()
                        .channel();
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(address);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    @AfterEach
    void closeListener() throws Exception {
        listener.close().sync();
    }

    private static ScriptedServer.Step answerAfter(CountDownLatch released) {
        return (head, out, socket) -> {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return ScriptedServer.ok("late").serve(head, out, socket);
        };
    }

    /** Sends while the edge does not read: all of it waits in the system before the first read. */
    private void sendAtOnce(Socket client, String text) throws Exception {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        edge.loop()
                .execute(
                        () -> {
                            paused.countDown();
                            try {
                                sent.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        paused.await();
        send(client, text);
        sent.countDown();
    }

    private static void send(Socket client, String text) throws Exception {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String readStatus(InputStream in) throws Exception {
        String head = ScriptedServer.readHead(in);
        assertWithMessage("response head").that(head).isNotNull();
        String length = ScriptedServer.header(head, "content-length");
        in.readNBytes(Integer.parseInt(length));
        return head.substring(0, "HTTP/1.1 200".length());
    }

    /** A codec with Netty's bound of 128 waiting requests breaks the connection off here. */
    @Test
    void answersAllRequestsThatArriveBehindSlowOnes() throws Exception {
        CountDownLatch firstReleased = new CountDownLatch(1);
        CountDownLatch secondReleased = new CountDownLatch(1);
        startServers(answerAfter(firstReleased));
        servers.get(0).enqueue(answerAfter(secondReleased));
        int few = 100;
        int many = 1500;
        try (Socket client = connect()) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            send(
                    client,
                    SLOW_CALL.formatted("a1")
                            + UNKNOWN_ROUTE.repeat(few)
                            + SLOW_CALL.formatted("a2")
                            + UNKNOWN_ROUTE.repeat(many));
            firstReleased.countDown();
            assertThat(readStatus(in)).isEqualTo("HTTP/1.1 200");
            for (int i = 0; i < few; i++) {
                assertThat(readStatus(in)).isEqualTo("HTTP/1.1 404");
            }
            secondReleased.countDown();
            assertThat(readStatus(in)).isEqualTo("HTTP/1.1 200");
            for (int i = 0; i < many; i++) {
                assertThat(readStatus(in)).isEqualTo("HTTP/1.1 404");
            }
        }
    }

    /** A close with unread bytes is a reset, which may overtake the response. */
    @Test
    void endsConnectionInOrderThoughMoreArrivesBehindLastResponse() throws Exception {
        startServers();
        int tooLong = 8 * 1024 * 1024;
        String head = "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: " + tooLong + "\r\n\r\n";
        try (Socket client = connect()) {
            sendAtOnce(client, head + "x".repeat(100 * 1024));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertThat(readStatus(in)).isEqualTo("HTTP/1.1 413");
            assertWithMessage("end of the connection").that(in.read()).isEqualTo(-1);
        }
    }

    /** As above, with a response that is still on its way when the connection is closed. */
    @Test
    void completesLastResponseThoughMoreArrivesBehindItsRequest() throws Exception {
        String body = "x".repeat(1024 * 1024);
        startServers(ScriptedServer.ok(body));
        String last = SLOW_CALL.formatted("a1").replace("Host: h", "Host: h\r\nConnection: close");
        try (Socket client = connect()) {
            sendAtOnce(client, last + UNKNOWN_ROUTE.repeat(3000));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertThat(ScriptedServer.readHead(in)).startsWith("HTTP/1.1 200");
            assertThat(in.readNBytes(body.length())).hasLength(body.length());
            assertWithMessage("end of the connection").that(in.read()).isEqualTo(-1);
        }
    }
}
