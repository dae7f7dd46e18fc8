package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Guards against wrong retries and responses after each outcome of an attempt, and against the
 * reuse of connections that are no longer usable. Uses real sockets.
 */
class RequestExchangeTest extends ExchangeHarness {

    @Test
    void forwardsResponseUnchanged() throws Exception {
        startServers(ScriptedServer.ok("hello"));
        RecordedResponse client = send("/safe/");
        assertThat(client.ended()).isEqualTo("complete 200");
        assertThat(client.body.toString()).isEqualTo("hello");
        assertThat(
                        ScriptedServer.header(
                                servers.get(0).requestHeads.get(0), "X-Poppynotch-Expect-Instance"))
                .isEqualTo("i0");
    }

    @Test
    void retriesSafeRequestOnAnotherServerAfterFailure() throws Exception {
        startServers(ScriptedServer.reset(), ScriptedServer.ok("again"));
        servers.get(0).enqueue(ScriptedServer.reset());
        servers.get(1).enqueue(ScriptedServer.ok("again"));
        RecordedResponse client = send("/safe/");
        assertThat(client.ended()).isEqualTo("complete 200");
        assertThat(client.body.toString()).isEqualTo("again");
    }

    @Test
    void doesNotRetryUnsafeRequestAfterFailure() throws Exception {
        startServers(ScriptedServer.reset(), ScriptedServer.reset());
        assertThat(send("/unsafe/").ended()).isEqualTo("SERVER_FAILED");
        assertThat(arrivals()).isEqualTo(1);
    }

    @Test
    void triesAnotherServerWhenOneIsUnreachable() throws Exception {
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            closedPort = socket.getLocalPort();
        }
        servers.add(new ScriptedServer(ScriptedServer.ok("there")));
        configure(List.of("127.0.0.1:" + closedPort, servers.get(0).address()), 10_000);
        assertThat(send("/once/").ended()).isEqualTo("complete 200");
    }

    @Test
    void retriesUnsafeRequestThatServerDidNotExecute() throws Exception {
        ScriptedServer.Step full =
                ScriptedServer.response("503 Full", "X-Poppynotch-Not-Executed: 1\r\n", "");
        startServers(full, full);
        servers.forEach(server -> server.enqueue(ScriptedServer.ok("there")));
        assertThat(send("/unsafe/").ended()).isEqualTo("NO_SERVER_AVAILABLE retry");
        assertThat(arrivals()).isEqualTo(2);
    }

    @Test
    void rejectsWithRetryAfterWhenNoAttemptIsLeft() throws Exception {
        ScriptedServer.Step full =
                ScriptedServer.response("503 Full", "X-Poppynotch-Not-Executed: 1\r\n", "");
        startServers(full, full);
        assertThat(send("/once/").ended()).isEqualTo("NO_SERVER_AVAILABLE retry");
        assertThat(arrivals()).isEqualTo(1);
    }

    @Test
    void doesNotForwardUnavailableStatusWithoutNotExecutedHeader() throws Exception {
        startServers(
                ScriptedServer.response("503 Busy", "X-Poppynotch-Response-Seal: s\r\n", "maybe"));
        assertThat(send("/once/").ended()).isEqualTo("SERVER_FAILED");
    }

    @Test
    void reportsMisdirectedServerAndTriesAnother() throws Exception {
        startServers(
                ScriptedServer.response(
                        "421 Misdirected Request", "X-Poppynotch-Instance-Id: other\r\n", ""),
                ScriptedServer.ok("right"));
        servers.get(1).enqueue(ScriptedServer.ok("right"));
        assertThat(send("/once/").ended()).isEqualTo("complete 200");
        assertThat(misdirected).containsExactly("i0");
    }

    @Test
    void doesNotForwardSuccessWithoutSeal() throws Exception {
        startServers(ScriptedServer.response("200 OK", "", "not the server's"));
        assertThat(send("/once/").ended()).isEqualTo("SERVER_FAILED");
    }

    @Test
    void doesNotForwardTruncatedResponse() throws Exception {
        startServers(
                (head, out, socket) -> {
                    ScriptedServer.write(
                            out,
                            "HTTP/1.1 200 OK\r\nX-Poppynotch-Response-Seal: s\r\n"
                                    + "Content-Length: 9\r\n\r\nhal");
                    return false;
                });
        assertThat(send("/once/").ended()).isEqualTo("SERVER_FAILED");
    }

    @Test
    void skipsResponseToEarlierRequest() throws Exception {
        startServers(
                (head, out, socket) -> {
                    ScriptedServer.write(
                            out,
                            "HTTP/1.1 200 OK\r\n"
                                    + "X-Poppynotch-Attempt-Id: old\r\n"
                                    + "X-Poppynotch-Response-Seal: s\r\n"
                                    + "Content-Length: 3\r\n\r\n"
                                    + "old");
                    return ScriptedServer.ok("own").serve(head, out, socket);
                });
        RecordedResponse client = send("/once/");
        assertThat(client.ended()).isEqualTo("complete 200");
        assertThat(client.body.toString()).isEqualTo("own");
    }

    @Test
    void doesNotReuseConnectionWithSurplusBytes() throws Exception {
        startServers(
                (head, out, socket) -> {
                    ScriptedServer.write(
                            out,
                            "HTTP/1.1 200 OK\r\nX-Poppynotch-Attempt-Id: "
                                    + ScriptedServer.header(head, "X-Poppynotch-Attempt-Id")
                                    + "\r\n"
                                    + "X-Poppynotch-Response-Seal: s\r\n"
                                    + "Content-Length: 3\r\n\r\n"
                                    + "ownHTTP/1.1 200 OK\r\n"
                                    + "X-Poppynotch-Response-Seal: s\r\n"
                                    + "Content-Length: 3\r\n\r\n"
                                    + "not");
                    return true;
                });
        assertThat(send("/once/").ended()).isEqualTo("complete 200");
        servers.get(0).enqueue(ScriptedServer.ok("next"));
        RecordedResponse second = send("/once/");
        assertThat(second.ended()).isEqualTo("complete 200");
        assertThat(second.body.toString()).isEqualTo("next");
    }

    @Test
    void forwardsStreamEventByEvent() throws Exception {
        startServers(ScriptedServer.events(true, EVENT_1 + "id: 2\nda", "ta: b\n\n", EVENT_3));
        RecordedResponse client = send("/stream/");
        assertThat(client.ended()).isEqualTo("stream");
        assertThat(client.body.toString()).isEqualTo(EVENT_1 + EVENT_2 + EVENT_3);
        assertThat(client.responseHeads).isEqualTo(1);
    }

    @Test
    void resumesStreamOnAnotherServerAfterLastCompleteEvent() throws Exception {
        startServers(
                ScriptedServer.events(false, EVENT_1 + EVENT_2 + "id: 3\nda"),
                ScriptedServer.events(true, EVENT_3));
        RecordedResponse client = send("/resume/");
        assertThat(client.ended()).isEqualTo("stream");
        assertThat(client.body.toString()).isEqualTo(EVENT_1 + EVENT_2 + EVENT_3);
        assertThat(client.responseHeads).isEqualTo(1);
        assertThat(ScriptedServer.header(servers.get(1).requestHeads.get(0), "Last-Event-Id"))
                .isEqualTo("2");
    }

    @Test
    void abortsNonResumableStreamBetweenEvents() throws Exception {
        startServers(ScriptedServer.events(false, EVENT_1 + "id: 2\nda"), ScriptedServer.reset());
        RecordedResponse client = send("/stream/");
        assertThat(client.ended()).isEqualTo("aborted");
        assertThat(client.body.toString()).isEqualTo(EVENT_1);
        assertThat(arrivals()).isEqualTo(1);
    }

    @Test
    void respondsBadGatewayWhenStreamFailsBeforeFirstEvent() throws Exception {
        startServers(ScriptedServer.events(false, "id: 1\nda"), ScriptedServer.reset());
        assertThat(send("/stream/").ended()).isEqualTo("SERVER_FAILED");
    }

    @Test
    void timesOutAtRouteTimeout() throws Exception {
        servers.add(new ScriptedServer((head, out, socket) -> socket.getInputStream().read() >= 0));
        configure(List.of(servers.get(0).address()), 150);
        assertThat(send("/once/").ended()).isEqualTo("TIMED_OUT");
        assertThat(servers.get(0).closedConnections.poll(20, TimeUnit.SECONDS))
                .isEqualTo("connection");
    }

    @Test
    void closesServerConnectionWhenClientDisconnects() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        startServers(
                (head, out, socket) -> {
                    arrived.complete(null);
                    return socket.getInputStream().read() >= 0;
                });
        RecordedResponse client = send("/once/");
        arrived.get(20, TimeUnit.SECONDS);
        edge.loop().submit(client.exchange::onClientDisconnected).sync();
        assertThat(servers.get(0).closedConnections.poll(20, TimeUnit.SECONDS))
                .isEqualTo("connection");
        assertThat(client.end.isDone()).isFalse();
    }

    /** A request in flight completes on a draining server; new requests go to another server. */
    @Test
    void drainingServerCompletesRequestInFlightAndReceivesNoNewOnes() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        startServers(
                (head, out, socket) -> {
                    arrived.complete(null);
                    drained.join();
                    return ScriptedServer.ok("ended here").serve(head, out, socket);
                },
                ScriptedServer.ok("new"));
        RecordedResponse first = send("/once/");
        arrived.get(20, TimeUnit.SECONDS);
        ServerRecord other =
                new ServerRecord(
                        "i1", "s", servers.get(1).address(), "far", 4, ServerState.READY, 1);
        ServerRecord draining =
                new ServerRecord(
                        "i0", "s", servers.get(0).address(), "z", 4, ServerState.DRAINING, 2);
        edge.loop().submit(() -> edge.fleetState().updateServers(List.of(draining, other))).sync();
        RecordedResponse second = send("/once/");
        assertThat(second.ended()).isEqualTo("complete 200");
        assertThat(second.body.toString()).isEqualTo("new");
        drained.complete(null);
        assertThat(first.ended()).isEqualTo("complete 200");
        assertThat(first.body.toString()).isEqualTo("ended here");
        assertThat(servers.get(0).requestHeads).hasSize(1);
    }

    @Test
    void doesNotReuseConnectionThatServerHasClosed() throws Exception {
        startServers(
                (head, out, socket) -> {
                    ScriptedServer.ok("first").serve(head, out, socket);
                    return false;
                });
        assertThat(send("/once/").ended()).isEqualTo("complete 200");
        assertThat(servers.get(0).closedConnections.poll(20, TimeUnit.SECONDS))
                .isEqualTo("connection");
        awaitNoIdleConnection("i0");
        servers.get(0).enqueue(ScriptedServer.ok("second"));
        assertThat(send("/once/").ended()).isEqualTo("complete 200");
    }

    /**
     * Waits until the event loop has detected that the server closed its idle connection. The limit
     * is far below the time for which an idle connection is kept.
     */
    private void awaitNoIdleConnection(String serverId) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while (edge.loop()
                .submit(() -> edge.upstreamConnections().hasIdleConnection(serverId))
                .get()) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
            Thread.onSpinWait();
        }
    }
}
