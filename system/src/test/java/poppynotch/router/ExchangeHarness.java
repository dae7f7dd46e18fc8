package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.Route;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Base of tests that send an edge's requests to scripted servers on real sockets. */
abstract class ExchangeHarness {

    private static final String SETTINGS =
            """
            NodeName = "e"
            Ip = "127.0.0.1"
            Zone = "z"
            EphemeralPorts = [1,2]
            Seeds = []
            [Bounds]
            RetryBudgetRatio = 10
            BudgetSlack = 1000
            """;
    private static final String CONFIG =
            """
{"Generation":1,"Routes":[
{"Name":"safe","Authority":"h","PathPrefix":"/safe/","RouteType":"safe","TimeoutMs":%d,"Backend":"s",
 "MaxAttempts":2},
{"Name":"unsafe","Authority":"h","PathPrefix":"/unsafe/","RouteType":"unsafe","TimeoutMs":%d,
 "Backend":"s","MaxAttempts":2},
{"Name":"once","Authority":"h","PathPrefix":"/once/","RouteType":"unsafe","TimeoutMs":%d,
 "Backend":"s","MaxAttempts":1},
{"Name":"stream","Authority":"h","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":%d,
 "Backend":"s","MaxAttempts":2},
{"Name":"resume","Authority":"h","PathPrefix":"/resume/","RouteType":"streaming","TimeoutMs":%d,
 "Backend":"s","MaxAttempts":2,"StreamResume":true}],
"Backends":[{"Name":"s"}]}
""";
    static final String EVENT_1 = "id: 1\ndata: a\n\n";
    static final String EVENT_2 = "id: 2\ndata: b\n\n";
    static final String EVENT_3 = "id: 3\ndata: c\n\n";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final List<ScriptedServer> servers = new ArrayList<>();
    final List<String> misdirected = new CopyOnWriteArrayList<>();
    byte[] requestBody = "body".getBytes(StandardCharsets.UTF_8);
    EdgeContext edge;

    /** Records the response that a client receives. */
    static final class RecordedResponse implements ClientResponseWriter {
        final StringBuilder body = new StringBuilder();
        final CompletableFuture<String> end = new CompletableFuture<>();
        volatile RequestExchange exchange;
        int responseHeads;

        @Override
        public void writeComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
            body.append(content.toString(StandardCharsets.UTF_8));
            content.release();
            end.complete("complete " + status.code());
        }

        @Override
        public void writeHead(HttpResponseStatus status, HttpHeaders headers) {
            responseHeads++;
        }

        @Override
        public boolean writeChunk(ByteBuf data) {
            body.append(data.toString(StandardCharsets.UTF_8));
            data.release();
            return true;
        }

        @Override
        public void writeEnd() {
            end.complete("stream");
        }

        @Override
        public void abort() {
            end.complete("aborted");
        }

        @Override
        public void writeLocal(LocalResponse response, long retryAfterMs) {
            end.complete(response + (retryAfterMs > 0 ? " retry" : ""));
        }

        String ended() throws Exception {
            return end.get(20, TimeUnit.SECONDS);
        }
    }

    @BeforeEach
    final void start() {
        edge = TestEdge.create((EventLoop) group.next(), SETTINGS, misdirected);
    }

    @AfterEach
    final void stop() throws Exception {
        for (ScriptedServer server : servers) {
            server.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** Starts one server for each first step, in the order in which requests try the servers. */
    final void startServers(ScriptedServer.Step... firstSteps) throws Exception {
        for (ScriptedServer.Step step : firstSteps) {
            servers.add(new ScriptedServer(step));
        }
        configure(servers.stream().map(ScriptedServer::address).toList(), 10_000);
    }

    final void configure(List<String> addresses, long timeoutMs) throws Exception {
        String json = CONFIG.replace("%d", String.valueOf(timeoutMs));
        ConfigResult config = ConfigReader.read(json.getBytes(StandardCharsets.UTF_8));
        List<ServerRecord> records = new ArrayList<>();
        for (String address : addresses) {
            // The first server is in the zone of the edge, and is therefore tried first.
            String zone = records.isEmpty() ? "z" : "far";
            records.add(
                    new ServerRecord(
                            "i" + records.size(), "s", address, zone, 4, ServerState.READY, 1));
        }
        edge.loop()
                .submit(
                        () -> {
                            edge.fleetState().updateEdgePosition(0, 8, 0, 1);
                            edge.fleetState().configure(0, ((ConfigResult.Valid) config).config());
                            edge.fleetState().updateServers(records);
                        })
                .sync();
    }

    final RecordedResponse send(String path) throws Exception {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Host", "h")
                        .set(Headers.ATTEMPT_ID, "id-" + System.nanoTime());
        return send(path, headers, 60_000);
    }

    final RecordedResponse send(String path, HttpHeaders headers, long clientTimeoutMs)
            throws Exception {
        return send(path, headers, clientTimeoutMs, QuotaReservation.NONE);
    }

    final RecordedResponse send(
            String path, HttpHeaders headers, long clientTimeoutMs, QuotaReservation quota)
            throws Exception {
        RecordedResponse client = new RecordedResponse();
        edge.loop()
                .submit(
                        () -> {
                            ClientRequest request =
                                    new ClientRequest(
                                            HttpMethod.POST,
                                            path + "x",
                                            headers,
                                            Unpooled.wrappedBuffer(requestBody),
                                            edge.nowMs());
                            Route route =
                                    edge.fleetState()
                                            .config()
                                            .findRoute("h", request.path())
                                            .orElseThrow();
                            client.exchange =
                                    new RequestExchange(
                                            edge, request, client, route, quota, clientTimeoutMs);
                            client.exchange.start();
                        })
                .sync();
        return client;
    }

    final int arrivals() {
        return servers.stream().mapToInt(server -> server.requestHeads.size()).sum();
    }
}
