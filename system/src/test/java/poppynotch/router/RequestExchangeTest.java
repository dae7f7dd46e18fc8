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

/** What becomes of a request at each boundary of sending and answering, on real sockets. */
class RequestExchangeTest extends ExchangeHarness {

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
        edge.loop().submit(client.exchange::onClientDisconnected).sync();
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
        edge.loop().submit(() -> edge.fleetState().updateServers(List.of(draining, other))).sync();
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
}
