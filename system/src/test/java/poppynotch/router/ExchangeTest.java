package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

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
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.Route;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** What becomes of a request at each boundary of sending and answering, on real sockets. */
class ExchangeTest {

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
    private static final String ONE = "id: 1\ndata: a\n\n";
    private static final String TWO = "id: 2\ndata: b\n\n";
    private static final String THREE = "id: 3\ndata: c\n\n";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final List<String> misdirected = new CopyOnWriteArrayList<>();
    private TestEdge edge;

    /** What a client got. */
    private static final class Recorded implements ClientAnswer {
        final StringBuilder body = new StringBuilder();
        final CompletableFuture<String> end = new CompletableFuture<>();
        volatile Exchange exchange;
        int heads;

        @Override
        public void whole(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
            body.append(content.toString(StandardCharsets.UTF_8));
            content.release();
            end.complete("whole " + status.code());
        }

        @Override
        public void begin(HttpResponseStatus status, HttpHeaders headers) {
            heads++;
        }

        @Override
        public boolean part(ByteBuf data) {
            body.append(data.toString(StandardCharsets.UTF_8));
            data.release();
            return true;
        }

        @Override
        public void end() {
            end.complete("stream");
        }

        @Override
        public void breakOff() {
            end.complete("broken off");
        }

        @Override
        public void own(Reply reply, long retryAfterMs) {
            end.complete(reply + (retryAfterMs > 0 ? " retry" : ""));
        }

        String ended() throws Exception {
            return end.get(20, TimeUnit.SECONDS);
        }
    }

    @BeforeEach
    void start() {
        edge = new TestEdge((EventLoop) group.next(), SETTINGS, misdirected);
    }

    @AfterEach
    void stop() throws Exception {
        for (ScriptedServer server : servers) {
            server.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** Servers in the order in which they are tried. */
    private void serve(ScriptedServer.Step... firstSteps) throws Exception {
        for (ScriptedServer.Step step : firstSteps) {
            servers.add(new ScriptedServer(step));
        }
        know(servers.stream().map(ScriptedServer::address).toList(), 10_000);
    }

    private void know(List<String> addresses, long timeoutMs) throws Exception {
        String json = CONFIG.replace("%d", String.valueOf(timeoutMs));
        ConfigResult config = ConfigReader.read(json.getBytes(StandardCharsets.UTF_8));
        List<ServerRecord> records = new ArrayList<>();
        for (String address : addresses) {
            // The zone puts the first one before the others.
            String zone = records.isEmpty() ? "z" : "far";
            records.add(
                    new ServerRecord(
                            "i" + records.size(), "s", address, zone, 4, ServerState.READY, 1));
        }
        edge.loop()
                .submit(
                        () -> {
                            edge.state().place(0, 8, 0);
                            edge.state().configure(0, ((ConfigResult.Valid) config).config());
                            edge.state().servers(records);
                        })
                .sync();
    }

    private Recorded send(String path) throws Exception {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Host", "h")
                        .set(Headers.ATTEMPT_ID, "id-" + System.nanoTime());
        return send(path, headers, 60_000);
    }

    private Recorded send(String path, HttpHeaders headers, long patienceMs) throws Exception {
        Recorded client = new Recorded();
        edge.loop()
                .submit(
                        () -> {
                            ClientRequest request =
                                    new ClientRequest(
                                            HttpMethod.POST,
                                            path + "x",
                                            headers,
                                            Unpooled.copiedBuffer("body", StandardCharsets.UTF_8),
                                            edge.now());
                            Route route =
                                    edge.state().config().route("h", request.path()).orElseThrow();
                            client.exchange =
                                    new Exchange(edge, request, client, route, null, 0, patienceMs);
                            client.exchange.start();
                        })
                .sync();
        return client;
    }

    private int arrivals() {
        return servers.stream().mapToInt(server -> server.heads.size()).sum();
    }

    @Test
    void anAnswerIsPassedOnUnchanged() throws Exception {
        serve(ScriptedServer.ok("hello"));
        Recorded client = send("/safe/");
        assertThat(client.ended()).isEqualTo("whole 200");
        assertThat(client.body.toString()).isEqualTo("hello");
        assertThat(
                        ScriptedServer.header(
                                servers.get(0).heads.get(0), "X-Poppynotch-Expect-Instance"))
                .isEqualTo("i0");
    }

    @Test
    void aSafeRequestThatBreaksIsSentToAnotherServer() throws Exception {
        serve(ScriptedServer.reset(), ScriptedServer.ok("again"));
        servers.get(0).then(ScriptedServer.reset());
        servers.get(1).then(ScriptedServer.ok("again"));
        Recorded client = send("/safe/");
        assertThat(client.ended()).isEqualTo("whole 200");
        assertThat(client.body.toString()).isEqualTo("again");
    }

    @Test
    void anUnsafeRequestThatBreaksMayHaveRunAndIsNotSentAgain() throws Exception {
        serve(ScriptedServer.reset(), ScriptedServer.reset());
        assertThat(send("/unsafe/").ended()).isEqualTo("BROKEN");
        assertThat(arrivals()).isEqualTo(1);
    }

    @Test
    void aServerThatCannotBeReachedIsPassedOver() throws Exception {
        int closed;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            closed = socket.getLocalPort();
        }
        servers.add(new ScriptedServer(ScriptedServer.ok("there")));
        know(List.of("127.0.0.1:" + closed, servers.get(0).address()), 10_000);
        assertThat(send("/once/").ended()).isEqualTo("whole 200");
    }

    @Test
    void whatAServerDidNotRunGoesToAnother() throws Exception {
        ScriptedServer.Step full =
                ScriptedServer.answer("503 Full", "X-Poppynotch-Not-Executed: 1\r\n", "");
        serve(full, full);
        servers.forEach(server -> server.then(ScriptedServer.ok("there")));
        assertThat(send("/unsafe/").ended()).isEqualTo("FULL retry");
        assertThat(arrivals()).isEqualTo(2);
    }

    @Test
    void withoutAnotherAttemptItIsRefusedWithATimeToComeBack() throws Exception {
        ScriptedServer.Step full =
                ScriptedServer.answer("503 Full", "X-Poppynotch-Not-Executed: 1\r\n", "");
        serve(full, full);
        assertThat(send("/once/").ended()).isEqualTo("FULL retry");
        assertThat(arrivals()).isEqualTo(1);
    }

    @Test
    void aPromiseThatTheServerDidNotGiveIsNotGivenForIt() throws Exception {
        serve(ScriptedServer.answer("503 Busy", "X-Poppynotch-Response-Seal: s\r\n", "maybe"));
        assertThat(send("/once/").ended()).isEqualTo("BROKEN");
    }

    @Test
    void anAddressOfAnotherServerIsForgotten() throws Exception {
        serve(
                ScriptedServer.answer(
                        "421 Misdirected Request", "X-Poppynotch-Instance-Id: other\r\n", ""),
                ScriptedServer.ok("right"));
        servers.get(1).then(ScriptedServer.ok("right"));
        assertThat(send("/once/").ended()).isEqualTo("whole 200");
        assertThat(misdirected).containsExactly("i0");
    }

    @Test
    void aSuccessWithoutASealIsNotPassedOn() throws Exception {
        serve(ScriptedServer.answer("200 OK", "", "not the server's"));
        assertThat(send("/once/").ended()).isEqualTo("BROKEN");
    }

    @Test
    void anAnswerThatIsCutShortIsNotPassedOn() throws Exception {
        serve(
                (head, out, socket) -> {
                    ScriptedServer.write(
                            out,
                            "HTTP/1.1 200 OK\r\nX-Poppynotch-Response-Seal: s\r\n"
                                    + "Content-Length: 9\r\n\r\nhal");
                    return false;
                });
        assertThat(send("/once/").ended()).isEqualTo("BROKEN");
    }

    @Test
    void anAnswerToAnEarlierRequestIsPassedOver() throws Exception {
        serve(
                (head, out, socket) -> {
                    ScriptedServer.write(
                            out,
                            "HTTP/1.1 200 OK\r\nX-Poppynotch-Attempt-Id: old\r\n"
                                    + "X-Poppynotch-Response-Seal: s\r\nContent-Length: 3\r\n\r\nold");
                    return ScriptedServer.ok("own").serve(head, out, socket);
                });
        Recorded client = send("/once/");
        assertThat(client.ended()).isEqualTo("whole 200");
        assertThat(client.body.toString()).isEqualTo("own");
    }

    @Test
    void aConnectionOnWhichMoreCameIsNotUsedAgain() throws Exception {
        serve(
                (head, out, socket) -> {
                    ScriptedServer.write(
                            out,
                            "HTTP/1.1 200 OK\r\nX-Poppynotch-Attempt-Id: "
                                    + ScriptedServer.header(head, "X-Poppynotch-Attempt-Id")
                                    + "\r\nX-Poppynotch-Response-Seal: s\r\n"
                                    + "Content-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\n"
                                    + "X-Poppynotch-Response-Seal: s\r\nContent-Length: 3\r\n\r\nnot");
                    return true;
                });
        assertThat(send("/once/").ended()).isEqualTo("whole 200");
        servers.get(0).then(ScriptedServer.ok("next"));
        Recorded second = send("/once/");
        assertThat(second.ended()).isEqualTo("whole 200");
        assertThat(second.body.toString()).isEqualTo("next");
    }

    @Test
    void aStreamIsPassedOnEventByEvent() throws Exception {
        serve(ScriptedServer.events(true, ONE + "id: 2\nda", "ta: b\n\n", THREE));
        Recorded client = send("/stream/");
        assertThat(client.ended()).isEqualTo("stream");
        assertThat(client.body.toString()).isEqualTo(ONE + TWO + THREE);
        assertThat(client.heads).isEqualTo(1);
    }

    @Test
    void aStreamThatBreaksGoesOnElsewhereBehindItsLastWholeEvent() throws Exception {
        serve(
                ScriptedServer.events(false, ONE + TWO + "id: 3\nda"),
                ScriptedServer.events(true, THREE));
        Recorded client = send("/resume/");
        assertThat(client.ended()).isEqualTo("stream");
        assertThat(client.body.toString()).isEqualTo(ONE + TWO + THREE);
        assertThat(client.heads).isEqualTo(1);
        assertThat(ScriptedServer.header(servers.get(1).heads.get(0), "Last-Event-Id"))
                .isEqualTo("2");
    }

    @Test
    void aStreamThatMayNotBeResumedIsBrokenOffBetweenEvents() throws Exception {
        serve(ScriptedServer.events(false, ONE + "id: 2\nda"), ScriptedServer.reset());
        Recorded client = send("/stream/");
        assertThat(client.ended()).isEqualTo("broken off");
        assertThat(client.body.toString()).isEqualTo(ONE);
        assertThat(arrivals()).isEqualTo(1);
    }

    @Test
    void aStreamThatBreaksBeforeItsFirstEventIsAnsweredWithoutAPromise() throws Exception {
        serve(ScriptedServer.events(false, "id: 1\nda"), ScriptedServer.reset());
        assertThat(send("/stream/").ended()).isEqualTo("BROKEN");
    }

    @Test
    void theTimeIsOverWhenTheRouteSaysSo() throws Exception {
        servers.add(new ScriptedServer((head, out, socket) -> socket.getInputStream().read() >= 0));
        know(List.of(servers.get(0).address()), 150);
        assertThat(send("/once/").ended()).isEqualTo("TIMED_OUT");
        assertThat(servers.get(0).ended.poll(20, TimeUnit.SECONDS)).isEqualTo("connection");
    }

    @Test
    void theServersConnectionEndsWhenTheClientHasLeft() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        serve(
                (head, out, socket) -> {
                    arrived.complete(null);
                    return socket.getInputStream().read() >= 0;
                });
        Recorded client = send("/once/");
        arrived.get(20, TimeUnit.SECONDS);
        edge.loop().submit(client.exchange::clientGone).sync();
        assertThat(servers.get(0).ended.poll(20, TimeUnit.SECONDS)).isEqualTo("connection");
        assertThat(client.end.isDone()).isFalse();
    }

    /** What is being sent when a drain becomes known ends there; nothing new goes there. */
    @Test
    void aServerThatDrainsEndsWhatItHasAndGetsNothingNew() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        serve(
                (head, out, socket) -> {
                    arrived.complete(null);
                    drained.join();
                    return ScriptedServer.ok("ended here").serve(head, out, socket);
                },
                ScriptedServer.ok("new"));
        Recorded first = send("/once/");
        arrived.get(20, TimeUnit.SECONDS);
        ServerRecord other =
                new ServerRecord(
                        "i1", "s", servers.get(1).address(), "far", 4, ServerState.READY, 1);
        ServerRecord draining =
                new ServerRecord(
                        "i0", "s", servers.get(0).address(), "z", 4, ServerState.DRAINING, 2);
        edge.loop().submit(() -> edge.state().servers(List.of(draining, other))).sync();
        Recorded second = send("/once/");
        assertThat(second.ended()).isEqualTo("whole 200");
        assertThat(second.body.toString()).isEqualTo("new");
        drained.complete(null);
        assertThat(first.ended()).isEqualTo("whole 200");
        assertThat(first.body.toString()).isEqualTo("ended here");
        assertThat(servers.get(0).heads).hasSize(1);
    }

    @Test
    void aConnectionThatTheServerHasClosedIsNotUsedForTheNextRequest() throws Exception {
        serve(
                (head, out, socket) -> {
                    ScriptedServer.ok("first").serve(head, out, socket);
                    return false;
                });
        assertThat(send("/once/").ended()).isEqualTo("whole 200");
        assertThat(servers.get(0).ended.poll(20, TimeUnit.SECONDS)).isEqualTo("connection");
        // What the network has told is read in the loop's next turn.
        edge.loop().submit(() -> {}).sync();
        edge.loop().submit(() -> {}).sync();
        servers.get(0).then(ScriptedServer.ok("second"));
        assertThat(send("/once/").ended()).isEqualTo("whole 200");
    }

    /** Servers echo the id always: an answer without one may be somebody else's. */
    @Test
    void anAnswerWithoutAnIdIsNobodysAnswer() throws Exception {
        ScriptedServer.Step withoutId =
                ScriptedServer.raw(
                        "HTTP/1.1 200 OK\r\nX-Poppynotch-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong");
        serve(withoutId, ScriptedServer.ok("right"));
        assertThat(send("/once/").ended()).isEqualTo("BROKEN");
        servers.get(0).then(withoutId);
        Recorded safe = send("/safe/");
        assertThat(safe.ended()).isEqualTo("whole 200");
        assertThat(safe.body.toString()).isEqualTo("right");
    }

    /** A surplus answer, on time or late, never becomes the next request's. */
    @Test
    void aSurplusAnswerIsPassedOver() throws Exception {
        serve(
                (head, out, socket) -> {
                    ScriptedServer.ok("first").serve(head, out, socket);
                    return true;
                });
        assertThat(send("/once/").ended()).isEqualTo("whole 200");
        servers.get(0)
                .then(
                        (head, out, socket) -> {
                            String surplus =
                                    "HTTP/1.1 200 OK\r\nX-Poppynotch-Attempt-Id: earlier\r\n"
                                            + "X-Poppynotch-Response-Seal: s\r\n"
                                            + "Content-Length: 7\r\n\r\nsurplus";
                            ScriptedServer.write(out, surplus);
                            return ScriptedServer.ok("second").serve(head, out, socket);
                        });
        Recorded second = send("/once/");
        assertThat(second.ended()).isEqualTo("whole 200");
        assertThat(second.body.toString()).isEqualTo("second");
    }

    @Test
    void anAnswerThatEndsWithItsConnectionIsWhole() throws Exception {
        serve(ScriptedServer.unframed(false, "all of it"));
        Recorded client = send("/once/");
        assertThat(client.ended()).isEqualTo("whole 200");
        assertThat(client.body.toString()).isEqualTo("all of it");
    }

    @Test
    void anAnswerWithoutALengthThatIsResetIsNotComplete() throws Exception {
        serve(ScriptedServer.unframed(true, "a part"), ScriptedServer.ok("elsewhere"));
        assertThat(send("/once/").ended()).isEqualTo("BROKEN");
        servers.get(0).then(ScriptedServer.unframed(true, "a part"));
        Recorded safe = send("/safe/");
        assertThat(safe.ended()).isEqualTo("whole 200");
        assertThat(safe.body.toString()).isEqualTo("elsewhere");
    }

    @Test
    void aStreamThatEndsWithItsConnectionIsCompleteOnlyBetweenEvents() throws Exception {
        serve(ScriptedServer.unframed(false, ONE + TWO));
        Recorded whole = send("/stream/");
        assertThat(whole.ended()).isEqualTo("stream");
        assertThat(whole.body.toString()).isEqualTo(ONE + TWO);
        servers.get(0).then(ScriptedServer.unframed(false, ONE + "id: 2\nda"));
        Recorded broken = send("/stream/");
        assertThat(broken.ended()).isEqualTo("broken off");
        assertThat(broken.body.toString()).isEqualTo(ONE);
    }

    @Test
    void aStreamWithoutALengthThatIsResetGoesOnElsewhere() throws Exception {
        serve(ScriptedServer.unframed(true, ONE), ScriptedServer.events(true, TWO));
        Recorded client = send("/resume/");
        assertThat(client.ended()).isEqualTo("stream");
        assertThat(client.body.toString()).isEqualTo(ONE + TWO);
    }

    /** At each boundary a request that must not run twice leaves this process once. */
    @Test
    void whatMayHaveRunIsNeverSentTwice() throws Exception {
        serve(ScriptedServer.reset(), ScriptedServer.reset());
        List<ScriptedServer.Step> ends =
                List.of(
                        ScriptedServer.reset(),
                        ScriptedServer.raw("HTTP/1.1 2"),
                        ScriptedServer.raw("nonsense\r\n\r\n"),
                        ScriptedServer.raw("HTTP/1.1 100 Continue\r\n\r\n"),
                        ScriptedServer.answer(
                                "500 Error", "X-Poppynotch-Response-Seal: s\r\n", "x"),
                        ScriptedServer.unframed(true, "x"),
                        (head, out, socket) -> false);
        int sent = 0;
        for (ScriptedServer.Step end : ends) {
            for (String path : List.of("/unsafe/", "/once/", "/stream/")) {
                servers.forEach(server -> server.replaceScript(end));
                boolean refused = send(path).ended().startsWith("FULL");
                // After failures both servers may be paused: then it must not have left at all.
                sent += refused ? 0 : 1;
                assertThat(arrivals()).isEqualTo(sent);
            }
        }
        assertThat(sent).isGreaterThan(2);
    }

    @Test
    void whatTheClientSaysOfItsPromptGoesAlongUnchanged() throws Exception {
        serve(ScriptedServer.ok("x"));
        Recorded client =
                send(
                        "/once/",
                        new DefaultHttpHeaders()
                                .set("Host", "h")
                                .set(Headers.ATTEMPT_ID, "id-1")
                                .set("X-Poppynotch-Model", "m")
                                .set(Headers.TOKEN_COUNT, "1460,80")
                                .set(Headers.PROMPT_PREFIX, "5c1e07a2:800,91bd3f06:410")
                                .set("Expect-Version", "7")
                                .set(Headers.DEADLINE, "800"),
                        800);
        assertThat(client.ended()).isEqualTo("whole 200");
        String head = servers.get(0).heads.get(0);
        assertThat(ScriptedServer.header(head, "X-Poppynotch-Model")).isEqualTo("m");
        assertThat(ScriptedServer.header(head, "X-Poppynotch-Token-Count")).isEqualTo("1460,80");
        assertThat(ScriptedServer.header(head, "X-Poppynotch-Prompt-Prefix"))
                .isEqualTo("5c1e07a2:800,91bd3f06:410");
        assertThat(ScriptedServer.header(head, "Expect-Version")).isEqualTo("7");
        long left = Long.parseLong(ScriptedServer.header(head, "X-Poppynotch-Deadline-Ms"));
        assertThat(left).isAtMost(800);
    }

    /** The second server is handed what is left of the time, not all of it. */
    @Test
    void theTimeHandedOnIsWhatIsLeft() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> breaks = new CompletableFuture<>();
        serve(
                (head, out, socket) -> {
                    arrived.complete(null);
                    breaks.join();
                    return ScriptedServer.reset().serve(head, out, socket);
                },
                ScriptedServer.ok("x"));
        Recorded client = send("/safe/");
        arrived.get(20, TimeUnit.SECONDS);
        long waitedFrom = System.nanoTime();
        while (System.nanoTime() - waitedFrom < TimeUnit.MILLISECONDS.toNanos(30)) {
            Thread.onSpinWait();
        }
        breaks.complete(null);
        assertThat(client.ended()).isEqualTo("whole 200");
        long first = deadlineOf(servers.get(0));
        assertThat(first).isAtMost(10_000);
        assertThat(deadlineOf(servers.get(1))).isAtMost(first - 29);
    }

    private static long deadlineOf(ScriptedServer server) {
        return Long.parseLong(
                ScriptedServer.header(server.heads.get(0), "X-Poppynotch-Deadline-Ms"));
    }

    /** A request that waits for its connection, or that goes on elsewhere, ends with its client. */
    @Test
    void nothingIsSentForAClientThatHasLeft() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> breaks = new CompletableFuture<>();
        serve(
                (head, out, socket) -> {
                    arrived.complete(null);
                    breaks.join();
                    return ScriptedServer.reset().serve(head, out, socket);
                },
                ScriptedServer.ok("x"));
        Recorded client = send("/safe/");
        arrived.get(20, TimeUnit.SECONDS);
        edge.loop().submit(client.exchange::clientGone).sync();
        breaks.complete(null);
        assertThat(servers.get(0).ended.poll(20, TimeUnit.SECONDS)).isEqualTo("connection");
        edge.loop().submit(() -> {}).sync();
        assertThat(servers.get(1).heads).isEmpty();
        assertThat(edge.active()).isEmpty();
    }
}
