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
 * Guards against responses that are matched to another request or forwarded though truncated, and
 * against requests that are executed twice or retried with a wrong deadline. Uses real sockets.
 */
class ResponseBoundaryTest extends ExchangeHarness {

    /** Servers always echo the id: a response without one may belong to another request. */
    @Test
    void treatsResponseWithoutAttemptIdAsFailure() throws Exception {
        ScriptedServer.Step withoutId =
                ScriptedServer.rawBytes(
                        "HTTP/1.1 200 OK\r\n"
                                + "X-Poppynotch-Response-Seal: s\r\n"
                                + "Content-Length: 5\r\n\r\n"
                                + "wrong");
        startServers(withoutId, ScriptedServer.ok("right"));
        assertThat(send("/once/").ended()).isEqualTo("SERVER_FAILED");
        servers.get(0).enqueue(withoutId);
        RecordedResponse safe = send("/safe/");
        assertThat(safe.ended()).isEqualTo("complete 200");
        assertThat(safe.body.toString()).isEqualTo("right");
    }

    /** A surplus response, early or late, is never taken for the response to the next request. */
    @Test
    void skipsSurplusResponseOnReusedConnection() throws Exception {
        startServers(
                (head, out, socket) -> {
                    ScriptedServer.ok("first").serve(head, out, socket);
                    return true;
                });
        assertThat(send("/once/").ended()).isEqualTo("complete 200");
        servers.get(0)
                .enqueue(
                        (head, out, socket) -> {
                            String surplus =
                                    "HTTP/1.1 200 OK\r\nX-Poppynotch-Attempt-Id: earlier\r\n"
                                            + "X-Poppynotch-Response-Seal: s\r\n"
                                            + "Content-Length: 7\r\n\r\nsurplus";
                            ScriptedServer.write(out, surplus);
                            return ScriptedServer.ok("second").serve(head, out, socket);
                        });
        RecordedResponse second = send("/once/");
        assertThat(second.ended()).isEqualTo("complete 200");
        assertThat(second.body.toString()).isEqualTo("second");
    }

    @Test
    void acceptsUnframedResponseEndedByOrderlyClose() throws Exception {
        startServers(ScriptedServer.unframed(false, "all of it"));
        RecordedResponse client = send("/once/");
        assertThat(client.ended()).isEqualTo("complete 200");
        assertThat(client.body.toString()).isEqualTo("all of it");
    }

    @Test
    void treatsUnframedResponseEndedByResetAsFailure() throws Exception {
        startServers(ScriptedServer.unframed(true, "a part"), ScriptedServer.ok("elsewhere"));
        assertThat(send("/once/").ended()).isEqualTo("SERVER_FAILED");
        servers.get(0).enqueue(ScriptedServer.unframed(true, "a part"));
        RecordedResponse safe = send("/safe/");
        assertThat(safe.ended()).isEqualTo("complete 200");
        assertThat(safe.body.toString()).isEqualTo("elsewhere");
    }

    @Test
    void acceptsUnframedStreamOnlyIfItEndsBetweenEvents() throws Exception {
        startServers(ScriptedServer.unframed(false, EVENT_1 + EVENT_2));
        RecordedResponse complete = send("/stream/");
        assertThat(complete.ended()).isEqualTo("stream");
        assertThat(complete.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
        servers.get(0).enqueue(ScriptedServer.unframed(false, EVENT_1 + "id: 2\nda"));
        RecordedResponse truncated = send("/stream/");
        assertThat(truncated.ended()).isEqualTo("aborted");
        assertThat(truncated.body.toString()).isEqualTo(EVENT_1);
    }

    @Test
    void resumesUnframedStreamOnAnotherServerAfterReset() throws Exception {
        startServers(ScriptedServer.unframed(true, EVENT_1), ScriptedServer.events(true, EVENT_2));
        RecordedResponse client = send("/resume/");
        assertThat(client.ended()).isEqualTo("stream");
        assertThat(client.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
    }

    /** A non-idempotent request is sent only once, wherever the attempt fails. */
    @Test
    void neverRetriesNonIdempotentRequestThatMayHaveExecuted() throws Exception {
        startServers(ScriptedServer.reset(), ScriptedServer.reset());
        List<ScriptedServer.Step> failures =
                List.of(
                        ScriptedServer.reset(),
                        ScriptedServer.rawBytes("HTTP/1.1 2"),
                        ScriptedServer.rawBytes("nonsense\r\n\r\n"),
                        ScriptedServer.rawBytes("HTTP/1.1 100 Continue\r\n\r\n"),
                        ScriptedServer.response(
                                "500 Error", "X-Poppynotch-Response-Seal: s\r\n", "x"),
                        ScriptedServer.unframed(true, "x"),
                        (head, out, socket) -> false);
        int sent = 0;
        for (ScriptedServer.Step failure : failures) {
            for (String path : List.of("/unsafe/", "/once/", "/stream/")) {
                servers.forEach(server -> server.replaceScript(failure));
                boolean refused = send(path).ended().startsWith("NO_SERVER_AVAILABLE");
                // Both servers may be ejected after failures; then the request is not sent at all.
                sent += refused ? 0 : 1;
                assertThat(arrivals()).isEqualTo(sent);
            }
        }
        assertThat(sent).isGreaterThan(2);
    }

    @Test
    void forwardsClientHeadersAboutPromptUnchanged() throws Exception {
        startServers(ScriptedServer.ok("x"));
        RecordedResponse client =
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
        assertThat(client.ended()).isEqualTo("complete 200");
        String head = servers.get(0).requestHeads.get(0);
        assertThat(ScriptedServer.header(head, "X-Poppynotch-Model")).isEqualTo("m");
        assertThat(ScriptedServer.header(head, "X-Poppynotch-Token-Count")).isEqualTo("1460,80");
        assertThat(ScriptedServer.header(head, "X-Poppynotch-Prompt-Prefix"))
                .isEqualTo("5c1e07a2:800,91bd3f06:410");
        assertThat(ScriptedServer.header(head, "Expect-Version")).isEqualTo("7");
        long remainingMs = Long.parseLong(ScriptedServer.header(head, "X-Poppynotch-Deadline-Ms"));
        assertThat(remainingMs).isAtMost(800);
    }

    /** The deadline header of the second attempt has the remaining time, not the full time. */
    @Test
    void sendsRemainingTimeAsDeadlineOfRetry() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> resetReleased = new CompletableFuture<>();
        startServers(
                (head, out, socket) -> {
                    arrived.complete(null);
                    resetReleased.join();
                    return ScriptedServer.reset().serve(head, out, socket);
                },
                ScriptedServer.ok("x"));
        RecordedResponse client = send("/safe/");
        arrived.get(20, TimeUnit.SECONDS);
        long waitedFrom = System.nanoTime();
        while (System.nanoTime() - waitedFrom < TimeUnit.MILLISECONDS.toNanos(30)) {
            Thread.onSpinWait();
        }
        resetReleased.complete(null);
        assertThat(client.ended()).isEqualTo("complete 200");
        long firstDeadlineMs = deadlineMs(servers.get(0));
        assertThat(firstDeadlineMs).isAtMost(10_000);
        assertThat(deadlineMs(servers.get(1))).isAtMost(firstDeadlineMs - 29);
    }

    private static long deadlineMs(ScriptedServer server) {
        return Long.parseLong(
                ScriptedServer.header(server.requestHeads.get(0), "X-Poppynotch-Deadline-Ms"));
    }

    @Test
    void doesNotRetryAfterClientDisconnects() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> resetReleased = new CompletableFuture<>();
        startServers(
                (head, out, socket) -> {
                    arrived.complete(null);
                    resetReleased.join();
                    return ScriptedServer.reset().serve(head, out, socket);
                },
                ScriptedServer.ok("x"));
        RecordedResponse client = send("/safe/");
        arrived.get(20, TimeUnit.SECONDS);
        edge.loop().submit(client.exchange::onClientDisconnected).sync();
        resetReleased.complete(null);
        assertThat(servers.get(0).closedConnections.poll(20, TimeUnit.SECONDS))
                .isEqualTo("connection");
        edge.loop().submit(() -> {}).sync();
        assertThat(servers.get(1).requestHeads).isEmpty();
        assertThat(edge.activeExchanges()).isEmpty();
    }

    /** A server that responds before it has read a long body still receives the rest of it. */
    @Test
    void writesRestOfRequestBodyAfterEarlyResponse() throws Exception {
        requestBody = new byte[6 * 1024 * 1024];
        new java.util.Random(1).nextBytes(requestBody);
        CompletableFuture<Boolean> bodiesMatch = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Thread server = new Thread(() -> respondEarly(listener, bodiesMatch), "early-server");
            server.setDaemon(true);
            server.start();
            configure(List.of("127.0.0.1:" + listener.getLocalPort()), 10_000);
            assertThat(send("/once/").ended()).isEqualTo("complete 200");
            byte[] first = requestBody;
            requestBody = "next".getBytes(StandardCharsets.UTF_8);
            assertThat(send("/once/").ended()).isEqualTo("complete 200");
            assertThat(first).hasLength(6 * 1024 * 1024);
            assertThat(bodiesMatch.get(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    private void respondEarly(ServerSocket listener, CompletableFuture<Boolean> bodiesMatch) {
        byte[] expected = requestBody;
        try (Socket socket = listener.accept()) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = ScriptedServer.readHead(in);
            ScriptedServer.ok("early").serve(head, socket.getOutputStream(), socket);
            boolean bodyMatches = Arrays.equals(in.readNBytes(expected.length), expected);
            String next = ScriptedServer.readHead(in);
            boolean nextBodyMatches =
                    "next".equals(new String(in.readNBytes(4), StandardCharsets.UTF_8));
            ScriptedServer.ok("second").serve(next, socket.getOutputStream(), socket);
            bodiesMatch.complete(bodyMatches && nextBodyMatches);
        } catch (IOException e) {
            bodiesMatch.completeExceptionally(e);
        }
    }
}
