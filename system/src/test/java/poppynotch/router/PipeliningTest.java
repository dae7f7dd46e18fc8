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

/**
 * Guards against pipelined requests that are dropped, and against responses that are lost because
 * the edge closes a connection with unread input. Uses real sockets.
 */
class PipeliningTest extends ExchangeHarness {

    private static final int READ_TIMEOUT_MS = 20_000;

    /** Small, so that a long response is not fully sent yet when the edge has written it. */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private static final String REQUEST_WITHOUT_ROUTE = "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String SLOW_REQUEST =
            "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Poppynotch-Attempt-Id: %s\r\n\r\n";

    private Channel listener;

    /** Starts a listener with the handlers of an edge process; returns a client connection. */
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

    private static ScriptedServer.Step respondAfter(CountDownLatch released) {
        return (head, out, socket) -> {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return ScriptedServer.ok("late").serve(head, out, socket);
        };
    }

    /** Sends while the event loop is blocked, so that all is buffered before the first read. */
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

    /** A codec with Netty's limit of 128 queued requests would close the connection here. */
    @Test
    void answersAllRequestsPipelinedBehindSlowOnes() throws Exception {
        CountDownLatch firstReleased = new CountDownLatch(1);
        CountDownLatch secondReleased = new CountDownLatch(1);
        startServers(respondAfter(firstReleased));
        servers.get(0).enqueue(respondAfter(secondReleased));
        int firstBatchSize = 100;
        int secondBatchSize = 1500;
        try (Socket client = connect()) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            send(
                    client,
                    SLOW_REQUEST.formatted("a1")
                            + REQUEST_WITHOUT_ROUTE.repeat(firstBatchSize)
                            + SLOW_REQUEST.formatted("a2")
                            + REQUEST_WITHOUT_ROUTE.repeat(secondBatchSize));
            firstReleased.countDown();
            assertThat(readStatus(in)).isEqualTo("HTTP/1.1 200");
            for (int i = 0; i < firstBatchSize; i++) {
                assertThat(readStatus(in)).isEqualTo("HTTP/1.1 404");
            }
            secondReleased.countDown();
            assertThat(readStatus(in)).isEqualTo("HTTP/1.1 200");
            for (int i = 0; i < secondBatchSize; i++) {
                assertThat(readStatus(in)).isEqualTo("HTTP/1.1 404");
            }
        }
    }

    /** Closing a socket with unread bytes causes a reset, which may discard the response. */
    @Test
    void closesConnectionInOrderDespiteUnreadBodyOfRejectedRequest() throws Exception {
        startServers();
        int bodyBytes = 8 * 1024 * 1024;
        String head =
                "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        try (Socket client = connect()) {
            sendAtOnce(client, head + "x".repeat(100 * 1024));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertThat(readStatus(in)).isEqualTo("HTTP/1.1 413");
            assertWithMessage("end of the connection").that(in.read()).isEqualTo(-1);
        }
    }

    /** The response is not fully sent when the edge closes the connection with unread bytes. */
    @Test
    void completesLastResponseDespiteUnreadPipelinedRequests() throws Exception {
        String body = "x".repeat(1024 * 1024);
        startServers(ScriptedServer.ok(body));
        String lastRequest =
                SLOW_REQUEST.formatted("a1").replace("Host: h", "Host: h\r\nConnection: close");
        try (Socket client = connect()) {
            sendAtOnce(client, lastRequest + REQUEST_WITHOUT_ROUTE.repeat(3000));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertThat(ScriptedServer.readHead(in)).startsWith("HTTP/1.1 200");
            assertThat(in.readNBytes(body.length())).hasLength(body.length());
            assertWithMessage("end of the connection").that(in.read()).isEqualTo(-1);
        }
    }
}
