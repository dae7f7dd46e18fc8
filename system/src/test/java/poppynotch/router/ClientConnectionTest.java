package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;

/** Guards against wrong parsing of client requests and wrong responses that the edge generates. */
class ClientConnectionTest {

    private static final String SETTINGS =
            """
            NodeName = "e"
            Ip = "127.0.0.1"
            EphemeralPorts = [1,2]
            Seeds = []
            """;
    private static final String CONFIG =
            """
{"Generation":1,"Routes":[
{"Name":"r","Authority":"h.example","PathPrefix":"/r/","RouteType":"unsafe","Backend":"s"},
{"Name":"open","Authority":"h.example","PathPrefix":"/open/","RouteType":"unsafe","Backend":"s",
 "Anonymous":true}],
"Backends":[{"Name":"s"}],"Limits":{"MaxBodyBytes":100},
"Tenants":[{"Name":"t","ApiKeys":["good"],"Unit":"tokens","PlainTokens":10,
 "RatePerS":1,"Burst":4}]}
""";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private EdgeContext edge;
    private EmbeddedChannel channel;

    @BeforeEach
    void connect() {
        edge = TestEdge.create((EventLoop) group.next(), SETTINGS, new ArrayList<>());
        ConfigResult config = ConfigReader.read(CONFIG.getBytes(StandardCharsets.UTF_8));
        edge.fleetState().configure(0, ((ConfigResult.Valid) config).config());
        channel = new EmbeddedChannel(new HttpServerCodec(), new ClientConnection(edge));
    }

    @AfterEach
    void stop() throws InterruptedException {
        channel.finishAndReleaseAll();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private String send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        StringBuilder response = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            response.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return response.toString();
    }

    private static String post(String path, String headers, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: H.example:80\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @Test
    void respondsNotFoundWithoutMatchingRoute() {
        assertThat(send(post("/none/x", "", ""))).startsWith("HTTP/1.1 404");
        assertThat(channel.isOpen()).isTrue();
        assertThat(send(post("/none/x", "", ""))).startsWith("HTTP/1.1 404");
    }

    /** Routes and API keys are unknown without a configuration, so 404 and 401 would be wrong. */
    @Test
    void respondsUnavailableBeforeFirstConfiguration() {
        edge = TestEdge.create((EventLoop) group.next(), SETTINGS, new ArrayList<>());
        channel = new EmbeddedChannel(new HttpServerCodec(), new ClientConnection(edge));
        assertThat(send(post("/none/x", "", ""))).startsWith("HTTP/1.1 503");
        assertThat(send(post("/r/x", "Authorization: Bearer bad\r\n", "")))
                .startsWith("HTTP/1.1 503");
    }

    /** Each request is routed by the configuration that is active when it arrives. */
    @Test
    void appliesNewConfigurationToNextRequestOnSameConnection() {
        assertThat(send(post("/added/x", "", ""))).startsWith("HTTP/1.1 404");
        String next =
                CONFIG.replace("\"Generation\":1", "\"Generation\":2")
                        .replace("\"/open/\"", "\"/added/\"");
        ConfigResult config = ConfigReader.read(next.getBytes(StandardCharsets.UTF_8));
        edge.fleetState().configure(0, ((ConfigResult.Valid) config).config());
        assertThat(send(post("/added/x", "", ""))).startsWith("HTTP/1.1 503");
        assertThat(send(post("/open/x", "", ""))).startsWith("HTTP/1.1 404");
    }

    @Test
    void rejectsMissingOrUnknownApiKey() {
        assertThat(send(post("/r/x", "", ""))).startsWith("HTTP/1.1 401");
        assertThat(send(post("/r/x", "Authorization: Bearer bad\r\n", "")))
                .startsWith("HTTP/1.1 401");
    }

    @Test
    void rejectsWithRetryAfterWhenNoServerIsKnown() {
        String response = send(post("/r/x", "Authorization: Bearer good\r\n", "b"));
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("retry-after: 0.0");
        assertThat(send(post("/open/x", "", "b"))).startsWith("HTTP/1.1 503");
    }

    /** A request that was rejected because no server is known was not executed. */
    @Test
    void refundsQuotaOfRequestThatWasNotExecuted() {
        for (int i = 0; i < 5; i++) {
            assertThat(send(post("/r/x", "Authorization: Bearer good\r\n", "")))
                    .startsWith("HTTP/1.1 503");
        }
        edge.fleetState()
                .quotas()
                .acquire(edge.nowMs(), edge.fleetState().config().tenants().get("t"), 1000);
        String response = send(post("/r/x", "Authorization: Bearer good\r\n", ""));
        assertThat(response).startsWith("HTTP/1.1 429");
        assertThat(response).contains("retry-after: ");
    }

    @Test
    void readsBodyInSeveralReadsAndInChunks() {
        assertThat(send("POST /none/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nab"))
                .isEmpty();
        assertThat(send("cd")).startsWith("HTTP/1.1 404");
        assertThat(
                        send(
                                "POST /none/x HTTP/1.1\r\nHost: h.example\r\n"
                                        + "Transfer-Encoding: chunked\r\n\r\n2\r\nab"))
                .isEmpty();
        assertThat(send("\r\n0\r\n\r\n")).startsWith("HTTP/1.1 404");
    }

    @Test
    void rejectsTooLargeBodyAndClosesConnection() {
        assertThat(send(post("/open/x", "", "x".repeat(101)))).startsWith("HTTP/1.1 413");
        assertThat(channel.isOpen()).isFalse();
    }

    /** Guards against a limit that refuses what is far below it, as it does not fit into an int. */
    @ParameterizedTest
    @ValueSource(
            strings = {"2147483647", "2147483648", "4294967346", "9223372036854775808", "1e30"})
    void acceptsRequestsBelowLargeLimits(String limit) {
        String limits =
                "\"MaxBodyBytes\":%s,\"MaxHeaderBytes\":%s,\"HeaderTimeoutMs\":%s,\"IdleTimeoutMs\":%s"
                        .replace("%s", limit);
        String json =
                CONFIG.replace("\"MaxBodyBytes\":100", limits)
                        .replace("\"Backend\":\"s\"", "\"Backend\":\"s\",\"TimeoutMs\":" + limit);
        ConfigResult config = ConfigReader.read(json.getBytes(StandardCharsets.UTF_8));
        edge.fleetState().configure(0, ((ConfigResult.Valid) config).config());
        edge.clientConnections().forEach(client -> client.closeIfTimedOut(edge.nowMs()));
        assertThat(send(post("/open/x", "", "x".repeat(5000)))).startsWith("HTTP/1.1 503");
        assertThat(send(post("/open/x", "", ""))).startsWith("HTTP/1.1 503");
        assertThat(channel.isOpen()).isTrue();
    }

    /** A limit beyond the edge's memory must not let one request take all of it. */
    @Test
    void rejectsBodyBeyondMemoryWithRetryAfter() {
        String json = CONFIG.replace("\"MaxBodyBytes\":100", "\"MaxBodyBytes\":1e15");
        ConfigResult config = ConfigReader.read(json.getBytes(StandardCharsets.UTF_8));
        edge.fleetState().configure(0, ((ConfigResult.Valid) config).config());
        String response =
                send(
                        "POST /open/x HTTP/1.1\r\n"
                                + "Host: h.example\r\n"
                                + "Content-Length: 99999999999\r\n\r\n");
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("retry-after: 0.5");
        assertThat(response).contains("connection: close");
    }

    @Test
    void rejectsMalformedRequestAndClosesConnection() {
        assertThat(send("nonsense\r\n\r\n")).startsWith("HTTP/1.1 400");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void answersPipelinedRequestsInOrder() {
        String responses =
                send(post("/none/1", "", "") + post("/open/2", "", "") + post("/none/3", "", ""));
        List<String> statuses =
                responses
                        .lines()
                        .filter(line -> line.startsWith("HTTP/1.1"))
                        .map(line -> line.substring(9, 12))
                        .toList();
        assertThat(statuses).containsExactly("404", "503", "404").inOrder();
    }

    /** A request that arrives late in a drain might be aborted, so it must not be executed. */
    @Test
    void rejectsNewRequestsWithRetryAfterOnceLingerTimeIsOver() {
        edge.shutdown().begin(edge.nowMs() - GracefulShutdown.LINGER_MS);
        String response = send(post("/open/x", "", "b"));
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("retry-after: 0.0");
        assertThat(response).contains("connection: close");
        assertThat(edge.activeExchanges()).isEmpty();
    }

    @Test
    void closesConnectionAfterResponseWhileDraining() {
        edge.shutdown().begin(edge.nowMs());
        assertThat(send(post("/none/x", "", ""))).contains("connection: close");
        assertThat(channel.isOpen()).isFalse();
    }
}
