package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Whose answer it is and whether it is whole, what is sent again, and with which time, on real
 * sockets.
 */
class AnswerBoundaryTest extends ExchangeHarness {

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
        edge.loop().submit(client.exchange::onClientDisconnected).sync();
        breaks.complete(null);
        assertThat(servers.get(0).ended.poll(20, TimeUnit.SECONDS)).isEqualTo("connection");
        edge.loop().submit(() -> {}).sync();
        assertThat(servers.get(1).heads).isEmpty();
        assertThat(edge.activeExchanges()).isEmpty();
    }

    /** A server may answer before a long body is in, and read on: it gets the rest as it is. */
    @Test
    void theRestOfABodyFollowsAnAnswerThatCameEarly() throws Exception {
        requestBody = new byte[6 * 1024 * 1024];
        new java.util.Random(1).nextBytes(requestBody);
        CompletableFuture<Boolean> same = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Thread server = new Thread(() -> answerEarly(listener, same), "early-server");
            server.setDaemon(true);
            server.start();
            know(List.of("127.0.0.1:" + listener.getLocalPort()), 10_000);
            assertThat(send("/once/").ended()).isEqualTo("whole 200");
            byte[] first = requestBody;
            requestBody = "next".getBytes(StandardCharsets.UTF_8);
            assertThat(send("/once/").ended()).isEqualTo("whole 200");
            assertThat(first).hasLength(6 * 1024 * 1024);
            assertThat(same.get(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    private void answerEarly(ServerSocket listener, CompletableFuture<Boolean> same) {
        byte[] expected = requestBody;
        try (Socket socket = listener.accept()) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = ScriptedServer.readHead(in);
            ScriptedServer.ok("early").serve(head, socket.getOutputStream(), socket);
            boolean body = Arrays.equals(in.readNBytes(expected.length), expected);
            String next = ScriptedServer.readHead(in);
            boolean rest = "next".equals(new String(in.readNBytes(4), StandardCharsets.UTF_8));
            ScriptedServer.ok("second").serve(next, socket.getOutputStream(), socket);
            same.complete(body && rest);
        } catch (IOException e) {
            same.completeExceptionally(e);
        }
    }
}
