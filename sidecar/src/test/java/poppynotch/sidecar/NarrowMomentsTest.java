package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What comes between two steps of the sidecar's: each test forces the bad order with real
 * connections.
 */
@Timeout(60)
class NarrowMomentsTest {

    private static final int DEADLINE_MS = 8000;

    private static final String STRAY = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

    private Rig rig;

    private Rig start(Fake... endpoints) throws IOException {
        rig = new Rig(endpoints);
        return rig.start();
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static String whole(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // ---- idle connections to endpoints ----

    /**
     * Guards against an answer that begins with what was left on the connection by the one before.
     */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 O", STRAY, "\r\n"})
    void aConnectionWithMoreThanItsAnswerIsNotUsedAgain(String more) throws Exception {
        start(new Fake((wire, request) -> wire.send(whole("served") + more)));
        for (int i = 0; i < 3; i++) {
            assertEquals("served", rig.ask("order", DEADLINE_MS).body());
        }
        assertEquals(3, rig.endpoints.get(0).connections.get());
    }

    /** Guards against half a line that waits on an idle connection for the next answer. */
    @Test
    void halfALineOnAnIdleConnectionEndsIt() throws Exception {
        CompletableFuture<Wire> first = new CompletableFuture<>();
        rig =
                new Rig(
                        new Fake(
                                (wire, request) -> {
                                    Fake.answer(wire, 200, "", "served");
                                    first.complete(wire);
                                }));
        // It would be closed as idle after minutes only.
        rig.idleCloseMs = 600_000;
        rig.start();
        assertEquals("served", rig.ask("order", DEADLINE_MS).body());
        first.get().send("HTTP/1.1 20");
        Rig.await("the connection is closed", () -> rig.endpoints.get(0).open.get() == 0);
        assertEquals("served", rig.ask("order", DEADLINE_MS).body());
    }

    /**
     * Guards against what came on an idle connection, or its end, and is read after the next
     * request.
     */
    @ParameterizedTest
    @ValueSource(strings = {STRAY, "HTTP/1.1 200 O", "end", "reset"})
    void whatCameBeforeTheRequestIsNotItsAnswer(String what) throws Exception {
        CompletableFuture<Wire> first = new CompletableFuture<>();
        // A thread that waits in a read would put off what the system makes of a close.
        CountDownLatch over = new CountDownLatch(1);
        start(
                new Fake(
                        (wire, request) -> {
                            Fake.answer(wire, 200, "", "served");
                            first.complete(wire);
                            over.await();
                        }));
        try (Wire client = rig.client()) {
            assertEquals("served", client.send(rig.request("order", DEADLINE_MS)).read().body());
            Wire endpoint = first.get();
            try (Rig.Held held = rig.hold()) {
                // The sidecar meets the request first, and the connection looks idle to it.
                client.send(rig.request("order", DEADLINE_MS));
                switch (what) {
                    case "end" -> endpoint.close();
                    case "reset" -> endpoint.reset();
                    default -> endpoint.send(what);
                }
            }
            Wire.Message answer = client.read();
            over.countDown();
            assertEquals(200, answer.status());
            assertEquals("served", answer.body());
            assertEquals(2, rig.endpoints.get(0).connections.get());
        }
    }

    /**
     * Guards against a connection that comes up once nothing new may go to its endpoint any more.
     */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "terminated", "maintenance"})
    void aConnectionThatComesUpTooLateCarriesNothing(String why) throws Exception {
        try (Late late = new Late()) {
            rig = new Rig();
            rig.askWithinMs = 20;
            LinkedBlockingQueue<String> answers = discovering();
            rig.start();
            answers.add(Rig.list(2, true, Rig.line(0, late.address(), "in_service", 0)));
            Rig.await("it is known", () -> rig.logged().contains("told version 2"));
            try (Wire client = rig.client()) {
                client.send(rig.request("order", 3000));
                Rig.await("the connect is under way", late::isBeingConnected);
                if (why.equals("maintenance")) {
                    assertEquals("done", rig.call("maint-on s0\n").trim());
                } else {
                    answers.add(Rig.list(3, false, Rig.line(0, late.address(), why, 0)));
                    Rig.await("it is told", () -> rig.logged().contains("told version 3"));
                }
                late.open();
                assertEquals(503, client.read().status(), "it surely never ran");
            }
            assertEquals(List.of(), late.requests);
        }
    }

    // ---- retries ----

    /** Guards against a repeat that is decided within a key's window and written after it. */
    @Test
    void aRepeatIsNotWrittenAfterItsWindow() throws Exception {
        try (Late late = new Late()) {
            Fake resetting = new Fake((wire, request) -> wire.reset());
            rig = new Rig(resetting);
            rig.windowMs = 600;
            rig.askWithinMs = 20;
            LinkedBlockingQueue<String> answers = discovering();
            resetting.script =
                    (wire, request) -> {
                        answers.add(
                                Rig.list(2, false, Rig.line(1, late.address(), "in_service", 0)));
                        Rig.await(
                                "the other one is known",
                                () -> rig.logged().contains("told version 2"));
                        wire.reset();
                    };
            rig.start();
            try (Wire client = rig.client()) {
                client.send(rig.request("save", DEADLINE_MS));
                Rig.await("the repeat's connect is under way", late::isBeingConnected);
                late.open();
                // The key is of all: whoever remembers it, a refusal is harmless.
                assertEquals(503, client.read().status());
            }
            assertEquals(List.of(), late.requests);
        }
    }

    // ---- clients that go away ----

    /** Guards against a request that is sent on though its client's end has come with it. */
    @Test
    void aRequestWhoseClientIsGoneAlreadyIsNotSentOn() throws Exception {
        start(Fake.answering(200, "", "served"));
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        try (Rig.Held held = rig.hold()) {
            for (int i = 0; i < 5; i++) {
                try (Wire gone = rig.client()) {
                    gone.send(rig.request("order", DEADLINE_MS));
                }
            }
        }
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        assertEquals(2, rig.attempts());
    }

    /**
     * Guards against a further attempt for a client whose end has come by then but was not met yet.
     */
    @Test
    void aRequestIsNotSentAgainForAClientThatIsGone() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        CompletableFuture<Wire> asked = new CompletableFuture<>();
        CountDownLatch over = new CountDownLatch(1);
        Fake.Script script =
                (wire, request) -> {
                    String id = request.headers().get("x-request-id");
                    if (id.equals("r0") || id.equals("r1")) {
                        both.countDown();
                        both.await();
                    } else if (asked.complete(wire)) {
                        over.await();
                    }
                    Fake.answer(wire, 200, "", "served");
                };
        start(new Fake(script), new Fake(script));
        try (Wire client = rig.client();
                Wire other = rig.client()) {
            // A connection to each of the two stands idle after this.
            client.send(rig.request("read", DEADLINE_MS));
            other.send(rig.request("read", DEADLINE_MS));
            assertEquals(200, client.read().status());
            assertEquals(200, other.read().status());
            client.send(rig.request("read", DEADLINE_MS));
            Wire endpoint = asked.get();
            try (Rig.Held held = rig.hold()) {
                // The sidecar meets the attempt's end first.
                endpoint.reset();
                client.close();
            }
            Rig.await("the request is over", () -> rig.logged().contains("left by its client"));
            over.countDown();
            assertEquals(200, other.send(rig.request("order", DEADLINE_MS)).read().status());
        }
        assertEquals(4, rig.attempts());
    }

    /**
     * Guards against a connect that comes up late and carries the request of a client that has
     * gone.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aConnectEndsWithItsClient(boolean cancel) throws Exception {
        try (Late late = new Late()) {
            rig = new Rig();
            rig.askWithinMs = 20;
            rig.cancel = cancel;
            LinkedBlockingQueue<String> answers = discovering();
            rig.start();
            answers.add(Rig.list(2, true, Rig.line(0, late.address(), "in_service", 0)));
            Rig.await("it is known", () -> rig.logged().contains("told version 2"));
            try (Wire client = rig.client()) {
                client.send(rig.request("order", DEADLINE_MS));
                Rig.await("the connect is under way", late::isBeingConnected);
            }
            Rig.await("the request is over", () -> rig.logged().contains("left by its client"));
            assertTrue(rig.logged().contains("s0 CANCELED"), rig.logged());
            assertFalse(late.isBeingConnected());
        }
    }

    /** Guards against a large body that is waited for once its client is gone. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aBodyThatIsStillToComeEndsWithItsClient(boolean cancel) throws Exception {
        Fake endpoint =
                new Fake((wire, request) -> wire.awaitEnd()) {
                    @Override
                    void serve(Wire wire) throws Exception {
                        wire.awaitEnd();
                    }
                };
        rig = new Rig(endpoint);
        rig.cancel = cancel;
        rig.start();
        try (Wire client = rig.client()) {
            String request = rig.request("order", DEADLINE_MS);
            client.send(
                    request.replace("Content-Length: 5", "Content-Length: 200000")
                            + "x".repeat(100_000));
            Rig.await("it goes on", () -> endpoint.open.get() == 1);
        }
        Rig.await("the attempt is over", () -> endpoint.open.get() == 0);
        Rig.await("the request is over", () -> rig.logged().contains("left by its client"));
    }

    // ---- connections that end here ----

    /**
     * Guards against a close over unread bytes: it is a reset, which may overtake the answer. With
     * so many requests in hand nothing more is read, and all their answers go out at once with the
     * first.
     */
    @Test
    void aLastAnswerIsFollowedByAnEndAndNoReset() throws Exception {
        CompletableFuture<Wire> asked = new CompletableFuture<>();
        start(
                new Fake(
                        (wire, request) -> {
                            asked.complete(wire);
                            wire.awaitEnd();
                        }));
        String other = "GET /other HTTP/1.1\r\nHost: x\r\n\r\n";
        try (Wire client = rig.client()) {
            client.send(
                    rig.request("order", DEADLINE_MS)
                            + other.repeat(14)
                            + other.replace("Host: x", "Connection: close"));
            Wire endpoint = asked.get();
            client.send("unread");
            Fake.answer(endpoint, 200, "", "served");
            assertEquals("served", client.read().body());
            for (int i = 0; i < 15; i++) {
                assertEquals(404, client.read().status());
            }
            assertEquals("", client.rest());
            assertTrue(client.isEndedInOrder(), "an end, and not a reset");
        }
    }

    /** Guards against a connection of a peer that never ends it, kept open for ever. */
    @Test
    void aPeerThatDoesNotEndItsConnectionIsNotWaitedForLong() throws Exception {
        start(Fake.answering(200, "", "served"));
        try (Wire client = rig.client()) {
            client.send(
                    rig.request("order", DEADLINE_MS)
                            .replace("Host: app.svc", "Connection: close"));
            assertEquals("served", client.read().body());
            assertEquals("", client.rest());
            Rig.await(
                    "it is closed here too, so that more bytes are turned back",
                    () -> {
                        try {
                            client.send("more");
                            return false;
                        } catch (IOException e) {
                            return true;
                        }
                    });
        }
    }

    /** Guards against a request that has half come when idle connections are let go. */
    @Test
    void aRequestThatHasBegunToComeIsAnsweredInADrain() throws Exception {
        start(Fake.answering(200, "", "served"));
        String request = rig.request("order", DEADLINE_MS);
        try (Wire idle = rig.client();
                Wire begun = rig.client()) {
            begun.send(request.substring(0, 60));
            Thread drain = new Thread(rig.sidecar::drain);
            drain.start();
            idle.awaitEnd();
            Wire.Message answer = begun.send(request.substring(60)).read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            assertEquals("", begun.rest());
            drain.join();
        }
    }

    /**
     * Guards against answers cut off for a client that is still to take them when idle ones are let
     * go.
     */
    @Test
    void aSlowReaderGetsItsAnswersInADrain() throws Exception {
        String body = "x".repeat(60_000);
        start(Fake.answering(200, "", body));
        try (Wire idle = rig.client();
                Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4096);
            socket.connect(rig.sidecar.address());
            Wire slow = new Wire(socket);
            // Until the system holds no more for both ends: the rest waits in the sidecar, and
            // hardly more is
            // read. The system may still find room later, and then one more request is taken.
            int taken = 0;
            for (boolean read = true; read; taken += read ? 1 : 0) {
                slow.send(rig.request("read", DEADLINE_MS).replace("q=1", "q=slow"));
                assertEquals(200, rig.ask("read", DEADLINE_MS).status());
                read = slowRequests() > taken;
            }
            Thread drain = new Thread(rig.sidecar::drain);
            drain.start();
            idle.awaitEnd();
            String left = slow.rest();
            int answered = 0;
            for (; !left.isEmpty(); answered++) {
                int end = left.indexOf("\r\n\r\n") + 4;
                assertTrue(
                        left.startsWith("HTTP/1.1 200 ") && left.startsWith(body, end),
                        "a whole answer is next, after " + answered);
                left = left.substring(end + body.length());
            }
            drain.join();
            assertEquals(slowRequests(), answered);
            assertTrue(answered >= taken, answered + " of " + taken);
        }
    }

    private long slowRequests() {
        return rig.endpoints.get(0).requests.stream()
                .filter(r -> r.line().contains("q=slow"))
                .count();
    }

    /** As above, where the request's head came in one piece with the request before. */
    @Test
    void aRequestThatBeganWithTheOneBeforeIsAnsweredInADrain() throws Exception {
        start(Fake.answering(200, "", "served"));
        String request = rig.request("order", DEADLINE_MS);
        try (Wire idle = rig.client();
                Wire begun = rig.client()) {
            begun.send(
                    rig.request("order", DEADLINE_MS) + request.substring(0, request.length() - 3));
            assertEquals(200, begun.read().status());
            Thread drain = new Thread(rig.sidecar::drain);
            drain.start();
            idle.awaitEnd();
            Wire.Message answer = begun.send(request.substring(request.length() - 3)).read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            drain.join();
        }
    }

    /** Guards against a flood that breaks the reader, whose close then overtakes the answer. */
    @Test
    void aFloodOfBadRequestsGetsOneAnswerAndAnEnd() throws Exception {
        start(Fake.answering(200, "", "served"));
        try (Wire client = rig.client()) {
            String other = "GET / HTTP/1.1\r\n\r\n";
            client.send("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n" + other.repeat(1000));
            assertEquals(400, client.read().status());
            assertEquals("", client.rest());
            assertTrue(client.isEndedInOrder(), "an end, and not a reset");
        }
        try (Wire client = rig.client()) {
            client.send("GET / HTTP/1.1\r\n\r\n".repeat(2000));
            for (int i = 0; i < 100; i++) {
                assertEquals(404, client.read().status());
            }
        }
        assertEquals(200, rig.ask("order", DEADLINE_MS).status());
    }

    // ---- discovery ----

    /**
     * A discovery that answers calls with what the test puts in, one after another; nothing is a
     * 503.
     */
    private LinkedBlockingQueue<String> discovering() {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        rig.discovery.script =
                (wire, request) -> {
                    String answer = answers.take();
                    Fake.answer(wire, answer.isEmpty() ? 503 : 200, "", answer);
                };
        return answers;
    }

    /** Guards against pauses that grow with a setting, past the time when news counts as told. */
    @Test
    void refusedCallsAreMadeAgainSoonWhateverTheSettingsSay() throws Exception {
        try (Fake endpoint = Fake.answering(200, "", "served")) {
            rig = new Rig();
            rig.askWithinMs = 3_600_000;
            LinkedBlockingQueue<String> answers = discovering();
            rig.start();
            answers.addAll(
                    List.of(
                            "",
                            "",
                            "",
                            "",
                            "",
                            Rig.list(9, true, Rig.line(0, endpoint.address(), "in_service", 0))));
            Rig.await("it asks until it is told", () -> rig.logged().contains("told version 9"));
            assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        }
    }

    /**
     * Guards against a process that starts anew with the list of its file and asks for another one
     * at its leisure: what changed while it was down counts as told all the same.
     */
    @Test
    void aProcessThatStartsAsksSoonWhatItsListIsWorth() throws Exception {
        Fake gone = Fake.answering(200, "", "gone");
        Fake stays = Fake.answering(200, "", "stays");
        rig = new Rig(gone, stays);
        rig.askWithinMs = 3_600_000;
        LinkedBlockingQueue<String> answers = discovering();
        rig.start();
        answers.add(Rig.list(3, true, Rig.line(1, stays.address(), "in_service", 0)));
        Rig.await("it is told with nobody calling", () -> rig.logged().contains("told version 3"));
        assertTrue(rig.discovery.requests.get(0).line().contains("index=1&"));
        for (int i = 0; i < 8; i++) {
            assertEquals("stays", rig.ask("order", DEADLINE_MS).body());
        }
        assertEquals(0, gone.requests.size());
    }

    /**
     * Guards against an older list, from whoever still has it, that takes the place of a newer one.
     */
    @Test
    void anOlderListChangesNothing() throws Exception {
        Fake now = Fake.answering(200, "", "now");
        Fake before = Fake.answering(200, "", "before");
        rig = new Rig(now, before);
        rig.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        rig.start();
        answers.add(Rig.list(7, true, Rig.line(0, now.address(), "in_service", 0)));
        answers.add(Rig.list(5, true, Rig.line(1, before.address(), "in_service", 0)));
        Rig.await("a third call is made", () -> rig.discovery.requests.size() >= 3);
        assertTrue(rig.discovery.requests.get(2).line().contains("index=7&"));
        assertEquals("now", rig.ask("order", DEADLINE_MS).body());
        assertTrue(rig.logged().contains("version 5 is older than 7"), rig.logged());
    }
}
