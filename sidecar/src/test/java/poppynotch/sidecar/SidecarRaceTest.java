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

/** Races between events of a sidecar: each test forces the critical order on real connections. */
@Timeout(60)
class SidecarRaceTest {

    private static final int DEADLINE_MS = 8000;

    private static final String STRAY = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

    private SidecarFixture fixture;

    private SidecarFixture start(FakeEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static String completeResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // ---- idle connections to endpoints ----

    /**
     * Guards against a response that begins with excess bytes of the one before on its connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 O", STRAY, "\r\n"})
    void doesNotReuseConnectionWithExcessBytes(String more) throws Exception {
        start(
                new FakeEndpoint(
                        (connection, request) ->
                                connection.send(completeResponse("served") + more)));
        for (int i = 0; i < 3; i++) {
            assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
        }
        assertEquals(3, fixture.endpoints.get(0).connections.get());
    }

    /**
     * Guards against a partial line on an idle connection that becomes part of the next response.
     */
    @Test
    void closesIdleConnectionThatReceivesBytes() throws Exception {
        CompletableFuture<RawHttpConnection> first = new CompletableFuture<>();
        fixture =
                new SidecarFixture(
                        new FakeEndpoint(
                                (connection, request) -> {
                                    FakeEndpoint.answer(connection, 200, "", "served");
                                    first.complete(connection);
                                }));
        // As idle it would be closed only after minutes.
        fixture.idleCloseMs = 600_000;
        fixture.start();
        assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
        first.get().send("HTTP/1.1 20");
        SidecarFixture.awaitUntil(
                "the connection is closed", () -> fixture.endpoints.get(0).open.get() == 0);
        assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
    }

    /**
     * Guards against bytes, or a close, of an idle connection that are read after the next request.
     */
    @ParameterizedTest
    @ValueSource(strings = {STRAY, "HTTP/1.1 200 O", "end", "reset"})
    void doesNotTakeEarlierBytesForResponse(String what) throws Exception {
        CompletableFuture<RawHttpConnection> first = new CompletableFuture<>();
        // A thread blocked in a read would delay the effect of closing its socket.
        CountDownLatch release = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            FakeEndpoint.answer(connection, 200, "", "served");
                            first.complete(connection);
                            release.await();
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            assertEquals(
                    "served", client.send(fixture.request("order", DEADLINE_MS)).read().body());
            RawHttpConnection endpoint = first.get();
            try (SidecarFixture.PausedEventLoop paused = fixture.pauseEventLoop()) {
                // The sidecar reads the request first, while the endpoint's connection seems idle.
                client.send(fixture.request("order", DEADLINE_MS));
                switch (what) {
                    case "end" -> endpoint.close();
                    case "reset" -> endpoint.reset();
                    default -> endpoint.send(what);
                }
            }
            RawHttpConnection.Message answer = client.read();
            release.countDown();
            assertEquals(200, answer.status());
            assertEquals("served", answer.body());
            assertEquals(2, fixture.endpoints.get(0).connections.get());
        }
    }

    /**
     * Guards against a connection that is established after its endpoint stopped taking requests.
     */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "terminated", "maintenance"})
    void writesNothingOnConnectionThatIsEstablishedTooLate(String reason) throws Exception {
        try (LateEndpoint late = new LateEndpoint()) {
            fixture = new SidecarFixture();
            fixture.askWithinMs = 20;
            LinkedBlockingQueue<String> answers = scriptDiscovery();
            fixture.start();
            answers.add(
                    SidecarFixture.listJson(
                            2,
                            true,
                            SidecarFixture.serverJson(0, late.address(), "in_service", 0)));
            SidecarFixture.awaitUntil(
                    "the endpoint is known",
                    () -> fixture.logText().contains("list received: version=2,"));
            try (RawHttpConnection client = fixture.connect()) {
                client.send(fixture.request("order", 3000));
                SidecarFixture.awaitUntil("the connect is in progress", late::hasConnectInProgress);
                if (reason.equals("maintenance")) {
                    assertEquals("done", fixture.callAdmin("maint-on s0\n").trim());
                } else {
                    answers.add(
                            SidecarFixture.listJson(
                                    3,
                                    false,
                                    SidecarFixture.serverJson(0, late.address(), reason, 0)));
                    SidecarFixture.awaitUntil(
                            "it has the list",
                            () -> fixture.logText().contains("list received: version=3,"));
                }
                late.open();
                assertEquals(503, client.read().status(), "the request has not run");
            }
            assertEquals(List.of(), late.requests);
        }
    }

    // ---- retries ----

    /** Guards against a retry that is decided within an idempotency window and written after it. */
    @Test
    void doesNotWriteRetryAfterIdempotencyWindow() throws Exception {
        try (LateEndpoint late = new LateEndpoint()) {
            FakeEndpoint resetting = new FakeEndpoint((connection, request) -> connection.reset());
            fixture = new SidecarFixture(resetting);
            fixture.idempotencyWindowMs = 600;
            fixture.askWithinMs = 20;
            LinkedBlockingQueue<String> answers = scriptDiscovery();
            resetting.script =
                    (connection, request) -> {
                        answers.add(
                                SidecarFixture.listJson(
                                        2,
                                        false,
                                        SidecarFixture.serverJson(
                                                1, late.address(), "in_service", 0)));
                        SidecarFixture.awaitUntil(
                                "the other endpoint is known",
                                () -> fixture.logText().contains("list received: version=2,"));
                        connection.reset();
                    };
            fixture.start();
            try (RawHttpConnection client = fixture.connect()) {
                client.send(fixture.request("save", DEADLINE_MS));
                SidecarFixture.awaitUntil(
                        "the connect of the retry is in progress", late::hasConnectInProgress);
                late.open();
                // The key is valid at all endpoints: whichever remembers it, a rejection is
                // harmless.
                assertEquals(503, client.read().status());
            }
            assertEquals(List.of(), late.requests);
        }
    }

    // ---- clients that disconnect ----

    /** Guards against forwarding a request although its client's close arrived with it. */
    @Test
    void doesNotForwardRequestOfDisconnectedClient() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        try (SidecarFixture.PausedEventLoop paused = fixture.pauseEventLoop()) {
            for (int i = 0; i < 5; i++) {
                try (RawHttpConnection gone = fixture.connect()) {
                    gone.send(fixture.request("order", DEADLINE_MS));
                }
            }
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(2, fixture.attemptCount());
    }

    /** Guards against a retry for a client whose close has arrived but was not read yet. */
    @Test
    void doesNotRetryForDisconnectedClient() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        CompletableFuture<RawHttpConnection> asked = new CompletableFuture<>();
        CountDownLatch release = new CountDownLatch(1);
        FakeEndpoint.Script script =
                (connection, request) -> {
                    String id = request.headers().get("x-request-id");
                    if (id.equals("r0") || id.equals("r1")) {
                        both.countDown();
                        both.await();
                    } else if (asked.complete(connection)) {
                        release.await();
                    }
                    FakeEndpoint.answer(connection, 200, "", "served");
                };
        start(new FakeEndpoint(script), new FakeEndpoint(script));
        try (RawHttpConnection client = fixture.connect();
                RawHttpConnection other = fixture.connect()) {
            // Both endpoints have an idle connection after this.
            client.send(fixture.request("read", DEADLINE_MS));
            other.send(fixture.request("read", DEADLINE_MS));
            assertEquals(200, client.read().status());
            assertEquals(200, other.read().status());
            client.send(fixture.request("read", DEADLINE_MS));
            RawHttpConnection endpoint = asked.get();
            try (SidecarFixture.PausedEventLoop paused = fixture.pauseEventLoop()) {
                // The sidecar reads the end of the attempt first.
                endpoint.reset();
                client.close();
            }
            SidecarFixture.awaitUntil(
                    "the request is over",
                    () -> fixture.logText().contains("conclusion=client disconnected"));
            release.countDown();
            assertEquals(200, other.send(fixture.request("order", DEADLINE_MS)).read().status());
        }
        assertEquals(4, fixture.attemptCount());
    }

    /** Guards against a late connect that sends the request of a client that has disconnected. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void abandonsConnectWhenClientDisconnects(boolean cancel) throws Exception {
        try (LateEndpoint late = new LateEndpoint()) {
            fixture = new SidecarFixture();
            fixture.askWithinMs = 20;
            fixture.cancel = cancel;
            LinkedBlockingQueue<String> answers = scriptDiscovery();
            fixture.start();
            answers.add(
                    SidecarFixture.listJson(
                            2,
                            true,
                            SidecarFixture.serverJson(0, late.address(), "in_service", 0)));
            SidecarFixture.awaitUntil(
                    "the endpoint is known",
                    () -> fixture.logText().contains("list received: version=2,"));
            try (RawHttpConnection client = fixture.connect()) {
                client.send(fixture.request("order", DEADLINE_MS));
                SidecarFixture.awaitUntil("the connect is in progress", late::hasConnectInProgress);
            }
            SidecarFixture.awaitUntil(
                    "the request is over",
                    () -> fixture.logText().contains("conclusion=client disconnected"));
            assertTrue(
                    fixture.logText().contains("server=s0, outcome=CANCELED"), fixture.logText());
            assertFalse(late.hasConnectInProgress());
        }
    }

    /** Guards against waiting for the rest of a large body after its client has disconnected. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void abandonsUploadWhenClientDisconnects(boolean cancel) throws Exception {
        FakeEndpoint endpoint =
                new FakeEndpoint((connection, request) -> connection.awaitEnd()) {
                    @Override
                    void serve(RawHttpConnection connection) throws Exception {
                        connection.awaitEnd();
                    }
                };
        fixture = new SidecarFixture(endpoint);
        fixture.cancel = cancel;
        fixture.start();
        try (RawHttpConnection client = fixture.connect()) {
            String request = fixture.request("order", DEADLINE_MS);
            client.send(
                    request.replace("Content-Length: 5", "Content-Length: 200000")
                            + "x".repeat(100_000));
            SidecarFixture.awaitUntil("the attempt has begun", () -> endpoint.open.get() == 1);
        }
        SidecarFixture.awaitUntil("the attempt is over", () -> endpoint.open.get() == 0);
        SidecarFixture.awaitUntil(
                "the request is over",
                () -> fixture.logText().contains("conclusion=client disconnected"));
    }

    // ---- connections that the sidecar ends ----

    /**
     * Guards against closing a socket with unread bytes: that sends a reset, which may overtake the
     * response. With this many requests in flight nothing more is read, and all their responses are
     * written together with the first.
     */
    @Test
    void closesWithoutResetAfterLastResponse() throws Exception {
        CompletableFuture<RawHttpConnection> asked = new CompletableFuture<>();
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            asked.complete(connection);
                            connection.awaitEnd();
                        }));
        String other = "GET /other HTTP/1.1\r\nHost: x\r\n\r\n";
        try (RawHttpConnection client = fixture.connect()) {
            client.send(
                    fixture.request("order", DEADLINE_MS)
                            + other.repeat(14)
                            + other.replace("Host: x", "Connection: close"));
            RawHttpConnection endpoint = asked.get();
            client.send("unread");
            FakeEndpoint.answer(endpoint, 200, "", "served");
            assertEquals("served", client.read().body());
            for (int i = 0; i < 15; i++) {
                assertEquals(404, client.read().status());
            }
            assertEquals("", client.readToEnd());
            assertTrue(client.isClosedInOrder(), "closed, and not reset");
        }
    }

    /** Guards against a connection that stays open forever because its peer never closes it. */
    @Test
    void closesLingeringConnectionAfterTimeout() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(
                    fixture.request("order", DEADLINE_MS)
                            .replace("Host: app.svc", "Connection: close"));
            assertEquals("served", client.read().body());
            assertEquals("", client.readToEnd());
            SidecarFixture.awaitUntil(
                    "it is closed here too, so that more bytes are rejected",
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

    /** Guards against dropping a partly received request when idle connections are closed. */
    @Test
    void drainAnswersRequestThatIsBeingReceived() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        String request = fixture.request("order", DEADLINE_MS);
        try (RawHttpConnection idle = fixture.connect();
                RawHttpConnection begun = fixture.connect()) {
            begun.send(request.substring(0, 60));
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            idle.awaitEnd();
            RawHttpConnection.Message answer = begun.send(request.substring(60)).read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            assertEquals("", begun.readToEnd());
            drain.join();
        }
    }

    /** Guards against responses cut off for a slow reader when idle connections are closed. */
    @Test
    void drainDeliversResponsesToSlowReader() throws Exception {
        String body = "x".repeat(60_000);
        start(FakeEndpoint.answering(200, "", body));
        try (RawHttpConnection idle = fixture.connect();
                Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4096);
            socket.connect(fixture.sidecar.address());
            RawHttpConnection slow = new RawHttpConnection(socket);
            // Until the socket buffers of both ends are full: the rest waits in the sidecar, and
            // hardly more is read. If a buffer has room later, one more request is read.
            int taken = 0;
            for (boolean read = true; read; taken += read ? 1 : 0) {
                slow.send(fixture.request("read", DEADLINE_MS).replace("q=1", "q=slow"));
                assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
                read = slowRequests() > taken;
            }
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            idle.awaitEnd();
            String left = slow.readToEnd();
            int answered = 0;
            for (; !left.isEmpty(); answered++) {
                int end = left.indexOf("\r\n\r\n") + 4;
                assertTrue(
                        left.startsWith("HTTP/1.1 200 ") && left.startsWith(body, end),
                        "a complete response is next, after " + answered);
                left = left.substring(end + body.length());
            }
            drain.join();
            assertEquals(slowRequests(), answered);
            assertTrue(answered >= taken, answered + " of " + taken);
        }
    }

    private long slowRequests() {
        return fixture.endpoints.get(0).requests.stream()
                .filter(r -> r.line().contains("q=slow"))
                .count();
    }

    /** As above, where the request's head arrived in one segment with the previous request. */
    @Test
    void drainAnswersRequestThatBeganInSameSegmentAsPrevious() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        String request = fixture.request("order", DEADLINE_MS);
        try (RawHttpConnection idle = fixture.connect();
                RawHttpConnection begun = fixture.connect()) {
            begun.send(
                    fixture.request("order", DEADLINE_MS)
                            + request.substring(0, request.length() - 3));
            assertEquals(200, begun.read().status());
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            idle.awaitEnd();
            RawHttpConnection.Message answer =
                    begun.send(request.substring(request.length() - 3)).read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            drain.join();
        }
    }

    /** Guards against a flood that fails the codec, so that a reset overtakes the response. */
    @Test
    void answersFloodOfMalformedRequestsOnceAndCloses() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            String other = "GET / HTTP/1.1\r\n\r\n";
            client.send("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n" + other.repeat(1000));
            assertEquals(400, client.read().status());
            assertEquals("", client.readToEnd());
            assertTrue(client.isClosedInOrder(), "closed, and not reset");
        }
        try (RawHttpConnection client = fixture.connect()) {
            client.send("GET / HTTP/1.1\r\n\r\n".repeat(2000));
            for (int i = 0; i < 100; i++) {
                assertEquals(404, client.read().status());
            }
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    /**
     * Guards against a codec that fails, and so resets the connection, if one read returns more
     * requests than its limit.
     */
    @Test
    void answersAllRequestsThatArriveInOneRead() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        int requests = 2000;
        try (RawHttpConnection client = fixture.connect()) {
            try (SidecarFixture.PausedEventLoop paused = fixture.pauseEventLoop()) {
                client.send("G / HTTP/1.1\r\n\r\n".repeat(requests));
            }
            for (int i = 0; i < requests; i++) {
                assertEquals(404, client.read().status(), "request " + i);
            }
            assertEquals(200, client.send(fixture.request("order", DEADLINE_MS)).read().status());
        }
    }

    /**
     * As above, with forwarded requests, each of which checks whether its client has disconnected.
     */
    @Test
    void answersAllCallsThatArriveInOneRead() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        int requests = 400;
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            text.append(fixture.request("read", DEADLINE_MS));
        }
        try (RawHttpConnection client = fixture.connect()) {
            try (SidecarFixture.PausedEventLoop paused = fixture.pauseEventLoop()) {
                client.send(text.toString());
            }
            for (int i = 0; i < requests; i++) {
                int status = client.read().status();
                assertTrue(status == 200 || status == 503, "request " + i + ": " + status);
            }
        }
    }

    // ---- discovery ----

    /**
     * Makes discovery answer its calls with the elements of the returned queue, in order; an empty
     * one stands for a 503.
     */
    private LinkedBlockingQueue<String> scriptDiscovery() {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        fixture.discovery.script =
                (connection, request) -> {
                    String answer = answers.take();
                    FakeEndpoint.answer(connection, answer.isEmpty() ? 503 : 200, "", answer);
                };
        return answers;
    }

    /** Guards against a backoff that depends on a setting, beyond the time limit for updates. */
    @Test
    void retriesRefusedDiscoveryCallsSoonWhateverTheSettings() throws Exception {
        try (FakeEndpoint endpoint = FakeEndpoint.answering(200, "", "served")) {
            fixture = new SidecarFixture();
            fixture.askWithinMs = 3_600_000;
            LinkedBlockingQueue<String> answers = scriptDiscovery();
            fixture.start();
            answers.addAll(
                    List.of(
                            "",
                            "",
                            "",
                            "",
                            "",
                            SidecarFixture.listJson(
                                    9,
                                    true,
                                    SidecarFixture.serverJson(
                                            0, endpoint.address(), "in_service", 0))));
            SidecarFixture.awaitUntil(
                    "it calls until it has the list",
                    () -> fixture.logText().contains("list received: version=9,"));
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        }
    }

    /**
     * Guards against a restarted process that keeps the list of its file for too long: changes that
     * were made while it was down must be applied too.
     */
    @Test
    void callsDiscoverySoonAfterStart() throws Exception {
        FakeEndpoint gone = FakeEndpoint.answering(200, "", "gone");
        FakeEndpoint stays = FakeEndpoint.answering(200, "", "stays");
        fixture = new SidecarFixture(gone, stays);
        fixture.askWithinMs = 3_600_000;
        LinkedBlockingQueue<String> answers = scriptDiscovery();
        fixture.start();
        answers.add(
                SidecarFixture.listJson(
                        3, true, SidecarFixture.serverJson(1, stays.address(), "in_service", 0)));
        SidecarFixture.awaitUntil(
                "it has the list without a request",
                () -> fixture.logText().contains("list received: version=3,"));
        assertTrue(fixture.discovery.requests.get(0).line().contains("index=1&"));
        for (int i = 0; i < 8; i++) {
            assertEquals("stays", fixture.sendRequest("order", DEADLINE_MS).body());
        }
        assertEquals(0, gone.requests.size());
    }

    /** Guards against an older list, from a server that still has it, that replaces a newer one. */
    @Test
    void ignoresOlderList() throws Exception {
        FakeEndpoint now = FakeEndpoint.answering(200, "", "now");
        FakeEndpoint before = FakeEndpoint.answering(200, "", "before");
        fixture = new SidecarFixture(now, before);
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = scriptDiscovery();
        fixture.start();
        answers.add(
                SidecarFixture.listJson(
                        7, true, SidecarFixture.serverJson(0, now.address(), "in_service", 0)));
        answers.add(
                SidecarFixture.listJson(
                        5, true, SidecarFixture.serverJson(1, before.address(), "in_service", 0)));
        SidecarFixture.awaitUntil(
                "a third call is made", () -> fixture.discovery.requests.size() >= 3);
        assertTrue(fixture.discovery.requests.get(2).line().contains("index=7&"));
        assertEquals("now", fixture.sendRequest("order", DEADLINE_MS).body());
        assertTrue(fixture.logText().contains("version 5 is older than 7"), fixture.logText());
    }
}
