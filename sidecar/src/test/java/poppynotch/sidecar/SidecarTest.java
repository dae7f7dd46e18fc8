package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A whole sidecar on loopback sockets, between its clients, its endpoints and discovery. */
@Timeout(60)
class SidecarTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    private SidecarFixture start(FakeEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static FakeEndpoint good() throws IOException {
        return FakeEndpoint.answering(200, "Content-Type: text/x\r\n", "served");
    }

    // ---- requests and responses ----

    /** Guards against tenants that are unknown because of the letters of their names. */
    @Test
    void servesTenantsByTheirUtf8Names() throws Exception {
        String projects =
                "\"settings\":{\"projects\":[{\"name\":\"ü\"},{\"name\":\"Ã¼\"},"
                        + "{\"name\":\"Taş 🦊\"}],";
        fixture =
                new SidecarFixture(good()) {
                    @Override
                    String config() {
                        return super.config().replace("\"settings\":{", projects);
                    }
                };
        fixture.start();
        for (String name : List.of("ü", "Ã¼", "Taş 🦊")) {
            byte[] utf8 = name.getBytes(StandardCharsets.UTF_8);
            assertEquals(200, sendAs(new String(utf8, StandardCharsets.ISO_8859_1)));
        }
        assertEquals(200, sendAs("\u00fc"));
        assertEquals(400, sendAs("Ta?"));
        String uri = "/api?q=\u00c5\u009f\u00fc";
        try (RawHttpConnection connection = fixture.connect()) {
            String request = tenantRequest("\u00fc").replace("/api?q=1", uri);
            assertEquals(200, connection.send(request).read().status());
        }
        List<RawHttpConnection.Message> seen = fixture.endpoints.get(0).requests;
        assertEquals("GET " + uri + " HTTP/1.1", seen.get(seen.size() - 1).line());
    }

    private String tenantRequest(String headerValue) {
        return fixture.request("read", DEADLINE_MS)
                .replace("Host:", "X-Tenant: " + headerValue + "\r\nHost:");
    }

    private int sendAs(String headerValue) throws IOException {
        try (RawHttpConnection connection = fixture.connect()) {
            return connection.send(tenantRequest(headerValue)).read().status();
        }
    }

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        start(good());
        RawHttpConnection.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(200, answer.status());
        assertEquals("served", answer.body());
        assertEquals("text/x", answer.headers().get("content-type"));
        RawHttpConnection.Message seen = fixture.endpoints.get(0).requests.get(0);
        assertEquals("POST /api?q=1 HTTP/1.1", seen.line());
        assertEquals("hello", seen.body());
        assertEquals("r0", seen.headers().get("x-request-id"));
        assertEquals("k1", seen.headers().get("idempotency-key"));
        int deadline = Integer.parseInt(seen.headers().get("x-deadline-ms"));
        assertTrue(deadline > 0 && deadline <= DEADLINE_MS, "deadline of the attempt: " + deadline);
    }

    @Test
    void keepsConnectionsAliveOnBothSides() throws Exception {
        start(good());
        try (RawHttpConnection client = fixture.connect()) {
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        200, client.send(fixture.request("read", DEADLINE_MS)).read().status());
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get());
    }

    /**
     * Guards against responses out of order: a client that pipelines matches them by their order.
     */
    @Test
    void writesPipelinedResponsesInOrderOfRequests() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            if (request.headers().get("x-request-id").equals("r0")) {
                                second.await();
                            } else {
                                second.countDown();
                            }
                            FakeEndpoint.answer(
                                    connection, 200, "", request.headers().get("x-request-id"));
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(
                    fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertEquals("r1", client.read().body());
        }
    }

    // ---- attempts that may or may not have run ----

    /** Guards against passing on malformed responses: the attempt has failed and may have run. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nno colon here",
                "HTTP/1.1 200 OK\r\nX-Note : blank",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/9.1 200 OK",
                "HTTP/1.1 OK 200",
                "HTTP/1.1 200 OK\r\nContent-Length: 7",
                "HTTP/1.1 200 OK\r\nContent-Length: -1",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
            })
    void failsRequestWhenResponseIsMalformed(String head) throws Exception {
        start(
                new FakeEndpoint(
                        (connection, request) ->
                                connection.send(head + "\r\nContent-Length: 6\r\n\r\nserved")));
        RawHttpConnection.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(502, answer.status());
        assertFalse(answer.body().contains("served"), answer.body());
        assertEquals(1, fixture.attemptCount());
    }

    /** Guards against a decoder that is too strict: unusual but valid heads are accepted. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nX-Load: %%%",
                "HTTP/1.1 200 OK\r\nX-Empty:"
            })
    void servesResponseWithUnusualButValidHead(String head) throws Exception {
        start(
                new FakeEndpoint(
                        (connection, request) ->
                                connection.send(head + "\r\nContent-Length: 6\r\n\r\nserved")));
        RawHttpConnection.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(200, answer.status());
        assertEquals("served", answer.body());
    }

    /**
     * Guards against effects that happen twice: an unsafe request that may have run is not retried.
     */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "half", "unframed", "garbage", "503", "504", "500", "201"})
    void failsUnsafeRequestWithoutRetryWhenItMayHaveRun(String how) throws Exception {
        FakeEndpoint.Script script =
                (connection, request) -> {
                    switch (how) {
                        case "reset" -> connection.reset();
                        case "half" -> {
                            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                            connection.close();
                        }
                        case "unframed" -> {
                            connection.send("HTTP/1.1 200 OK\r\n\r\na body of unknown length");
                            connection.close();
                        }
                        case "garbage" -> connection.send("what?\r\n\r\n");
                        default ->
                                FakeEndpoint.answer(connection, Integer.parseInt(how), "", "mine");
                    }
                };
        start(new FakeEndpoint(script), new FakeEndpoint(script));
        RawHttpConnection.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(502, answer.status());
        assertFalse(
                answer.body().contains("mine"), "an endpoint's refusal or error is not passed on");
        assertEquals(1, fixture.attemptCount());
    }

    /**
     * Guards against failing too early: a request that has not run is retried, even if it is
     * unsafe.
     */
    @ParameterizedTest
    @CsvSource({"order,503", "order,504", "order,refused", "read,500", "read,reset"})
    void retriesElsewhereWhenRequestIsSafeOrDidNotRun(String kind, String how) throws Exception {
        FakeEndpoint bad =
                new FakeEndpoint(
                        (connection, request) -> {
                            if (how.equals("reset")) {
                                connection.reset();
                            } else {
                                FakeEndpoint.answer(
                                        connection, Integer.parseInt(how), "X-Not-Run: 1\r\n", "");
                            }
                        });
        FakeEndpoint other = new FakeEndpoint(bad.script);
        start(bad, other);
        FakeEndpoint.Script good =
                (connection, request) -> FakeEndpoint.answer(connection, 200, "", "served");
        // The endpoint that gets the first attempt fails, and the other one serves.
        if (how.equals("refused")) {
            bad.close();
            other.script = good;
        } else {
            FakeEndpoint.Script first = bad.script;
            FakeEndpoint.Script once =
                    (connection, request) -> {
                        bad.script = good;
                        other.script = good;
                        first.onRequest(connection, request);
                    };
            bad.script = once;
            other.script = once;
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, fixture.sendRequest(kind, DEADLINE_MS).status());
        }
    }

    /**
     * Guards against an endpoint that hangs: the attempt times out and its connection is closed.
     */
    @Test
    void closesConnectionOfTimedOutAttempt() throws Exception {
        FakeEndpoint hung = new FakeEndpoint((connection, request) -> connection.awaitEnd());
        start(hung);
        RawHttpConnection.Message answer = fixture.sendRequest("order", 300);
        assertEquals(502, answer.status(), "it may have run");
        SidecarFixture.awaitUntil("the connection is closed", () -> hung.open.get() == 0);
        assertEquals(1, fixture.attemptCount());
    }

    @Test
    void cancelsAttemptWhenClientDisconnects() throws Exception {
        FakeEndpoint hung = new FakeEndpoint((connection, request) -> connection.awaitEnd());
        start(hung);
        try (RawHttpConnection client = fixture.connect()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.awaitUntil("the attempt is sent", () -> hung.requests.size() == 1);
        }
        SidecarFixture.awaitUntil("the attempt is cancelled", () -> hung.open.get() == 0);
    }

    /**
     * Guards against immediate retries by clients: a rejection comes at once, with a Retry-After.
     */
    @Test
    void rejectsAtOnceWithRetryAfter() throws Exception {
        start();
        long startNanos = System.nanoTime();
        RawHttpConnection.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(503, answer.status());
        assertEquals(0.5, Double.parseDouble(answer.headers().get("retry-after")));
        assertTrue(
                (System.nanoTime() - startNanos) / 1e6 < DEADLINE_MS / 2.0,
                "long before the deadline");
    }

    /**
     * Guards against events that are delivered to the balancer from within its own call to send
     * (with all connections busy, an attempt ends there), and against exceeding the limit on
     * sockets.
     */
    @Test
    void rejectsRequestWhenPoolIsFull() throws Exception {
        FakeEndpoint[] hung = new FakeEndpoint[4];
        for (int i = 0; i < hung.length; i++) {
            hung[i] = new FakeEndpoint((connection, request) -> connection.awaitEnd());
        }
        fixture = new SidecarFixture(hung);
        fixture.maxSockets = 1;
        fixture.start();
        try (RawHttpConnection pipelining = fixture.connect()) {
            for (int i = 0; i < 8; i++) {
                pipelining.send(fixture.request("order", DEADLINE_MS));
            }
            SidecarFixture.awaitUntil(
                    "all connections are busy", () -> fixture.attemptCount() == 8);
            assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(8, fixture.attemptCount());
            assertTrue(
                    fixture.logText().contains("all 8 connections to endpoints are busy"),
                    fixture.logText());
            assertFalse(fixture.logText().contains("module failed"), fixture.logText());
        }
    }

    /** Guards against running out of descriptors: beyond the limit, idle connections are closed. */
    @Test
    void closesIdleConnectionsWhenLimitIsReached() throws Exception {
        fixture =
                new SidecarFixture(
                        new FakeEndpoint((connection, request) -> connection.awaitEnd()));
        fixture.maxSockets = 1;
        fixture.start();
        List<RawHttpConnection> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(fixture.connect().send(fixture.request("order", DEADLINE_MS)));
        }
        SidecarFixture.awaitUntil("all four are in flight", () -> fixture.attemptCount() == 4);
        // Idle connections are closed in favour of later ones; busy ones stay open.
        for (int i = 0; i < 12; i++) {
            clients.add(fixture.connect());
        }
        clients.get(4).awaitEnd();
        for (int i = 12; i < 16; i++) {
            clients.get(i).send("POST /api HTTP/1.1\r\n");
        }
        clients.add(fixture.connect());
        for (RawHttpConnection client : clients) {
            client.close();
        }
        SidecarFixture.awaitUntil(
                "the connections to the endpoint are closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
        fixture.endpoints.get(0).script =
                (connection, request) -> FakeEndpoint.answer(connection, 200, "", "served");
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    /**
     * Guards against a connection limit below a third of the descriptors, which clients may use.
     */
    @ParameterizedTest
    @ValueSource(ints = {256, 384})
    void servesConnectionsUpToOneThirdOfDescriptors(int sockets) throws Exception {
        fixture = new SidecarFixture(good());
        fixture.maxSockets = sockets;
        fixture.start();
        List<RawHttpConnection> clients = new ArrayList<>();
        for (int i = 0; i < sockets / 3; i++) {
            clients.add(fixture.connect());
        }
        for (RawHttpConnection client : clients) {
            assertEquals(200, client.send(fixture.request("read", DEADLINE_MS)).read().status());
            assertEquals(200, client.send(fixture.request("read", DEADLINE_MS)).read().status());
        }
        for (RawHttpConnection client : clients) {
            client.close();
        }
    }

    // ---- invalid requests ----

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Class: read|X-Class: novel|400",
                "X-Class: read|Y: z|400",
                "X-Request-Id: r0|Y: z|400",
                "X-Deadline-Ms: 8000|X-Deadline-Ms: soon|400",
                "X-Deadline-Ms: 8000|Y: z|400",
                "/api?q=1|/other|404",
                "GET /api|PUT /api|405",
                "HTTP/1.1|HTTP|400",
                "Host: app.svc|Content-Length: 65537|400",
                "GET /api|POST /api|400",
                "X-Class: read|X-Class: order|400",
                "Host: app.svc|X-Request-Id: r9|400"
            })
    void answersInvalidRequestWithErrorStatus(String part, String replacement, int status)
            throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            release.await();
                            FakeEndpoint.answer(connection, 200, "", "served");
                        }));
        try (RawHttpConnection other = fixture.connect();
                RawHttpConnection client = fixture.connect()) {
            String request = fixture.request("read", DEADLINE_MS);
            other.send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.awaitUntil(
                    "another request is in flight", () -> fixture.attemptCount() == 1);
            assertTrue(request.contains(part), part);
            assertEquals(status, client.send(request.replace(part, replacement)).read().status());
            release.countDown();
            assertEquals(200, other.read().status());
        }
        assertEquals(1, fixture.attemptCount());
    }

    /**
     * Guards against forwarding a request that does not match its class, which endpoints reject.
     */
    @Test
    void rejectsRequestThatDoesNotMatchItsClass() throws Exception {
        start(good());
        String read = fixture.request("read", DEADLINE_MS);
        String save = fixture.request("order", DEADLINE_MS).replace("order", "save");
        try (RawHttpConnection client = fixture.connect()) {
            assertEquals(
                    400,
                    client.send(read.replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nb"))
                            .read()
                            .status());
            assertEquals(400, client.send(save.replace("Idempotency-Key", "Y")).read().status());
            assertEquals(0, fixture.attemptCount());
            assertEquals(200, client.send(save).read().status());
        }
    }

    @Test
    void rejectsRequestIdThatIsInFlight() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            release.await();
                            FakeEndpoint.answer(connection, 200, "", "served");
                        }));
        try (RawHttpConnection one = fixture.connect();
                RawHttpConnection two = fixture.connect()) {
            String request = fixture.request("read", DEADLINE_MS);
            one.send(request);
            SidecarFixture.awaitUntil("it is in flight", () -> fixture.attemptCount() == 1);
            assertEquals(409, two.send(request).read().status());
            release.countDown();
            assertEquals(200, one.read().status());
        }
    }

    // ---- connections to endpoints ----

    /**
     * Guards against writing to a connection that the endpoint is closing, which leads to a reset.
     */
    @Test
    void closesIdleConnectionBeforeEndpointDoes() throws Exception {
        fixture = new SidecarFixture(good());
        fixture.idleCloseMs = 400;
        fixture.start();
        assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
        SidecarFixture.awaitUntil(
                "the idle connection is closed", () -> fixture.endpoints.get(0).open.get() == 0);
    }

    // ---- discovery ----

    /** Makes discovery answer its calls with the elements of the returned queue, in order. */
    private LinkedBlockingQueue<String> scriptDiscovery() {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        fixture.discovery.script =
                (connection, request) -> {
                    String answer = answers.take();
                    if (answer.equals("reset")) {
                        connection.reset();
                    } else if (answer.equals("no colon")) {
                        FakeEndpoint.answer(
                                connection,
                                200,
                                "no colon here\r\n",
                                SidecarFixture.listJson(9, true));
                    } else {
                        FakeEndpoint.answer(connection, answer.isEmpty() ? 503 : 200, "", answer);
                    }
                };
        return answers;
    }

    @Test
    void continuesWatchFromLastVersion() throws Exception {
        FakeEndpoint before = good();
        FakeEndpoint after = good();
        fixture = new SidecarFixture(before);
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = scriptDiscovery();
        fixture.start();
        answers.add(
                SidecarFixture.listJson(
                        7,
                        false,
                        SidecarFixture.serverJson(0, before.address(), "terminating", 0),
                        SidecarFixture.serverJson(1, after.address(), "in_service", 0)));
        SidecarFixture.awaitUntil(
                "the next call is made", () -> fixture.discovery.requests.size() == 2);
        Pattern call =
                Pattern.compile("GET /registry/instances\\?index=(\\d+)&wait=(\\d+) HTTP/1.1");
        List<String> versions = new ArrayList<>();
        for (RawHttpConnection.Message request : fixture.discovery.requests) {
            Matcher matcher = call.matcher(request.line());
            assertTrue(matcher.matches(), request.line());
            versions.add(matcher.group(1));
            assertTrue(
                    Integer.parseInt(matcher.group(2)) <= 4000,
                    "a longer wait delays an update whose response is lost: " + request.line());
        }
        assertEquals(List.of("1", "7"), versions);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(0, before.requests.size(), "it drains");
        assertEquals(1, after.requests.size());
        after.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "reset", "no colon", "{\"version\":", "{\"version\":1}"})
    void retriesFailedDiscoveryCall(String failure) throws Exception {
        fixture = new SidecarFixture(good());
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = scriptDiscovery();
        fixture.start();
        answers.add(failure);
        answers.add(failure);
        SidecarFixture.awaitUntil("it calls again", () -> fixture.discovery.requests.size() >= 3);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.logText().contains("Discovery call failed: cause="), fixture.logText());
    }

    /** Guards against an outdated list while a watch gets no response. */
    @Test
    void restartsWatchThatTimesOut() throws Exception {
        fixture = new SidecarFixture(good());
        fixture.askWithinMs = 20;
        fixture.start();
        SidecarFixture.awaitUntil("it calls again", () -> fixture.discovery.requests.size() >= 2);
        assertTrue(
                fixture.logText().contains("Discovery call failed: cause=response timed out"),
                fixture.logText());
    }

    /** Guards against reusing connections to a process that has ended: requests would be reset. */
    @ParameterizedTest
    @CsvSource({"true,0", "false,1000"})
    void reconnectsWhenEndpointMovesOrRestarts(boolean moves, long started) throws Exception {
        FakeEndpoint old = good();
        fixture = new SidecarFixture(old);
        fixture.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = scriptDiscovery();
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        FakeEndpoint now = moves ? good() : old;
        answers.add(
                SidecarFixture.listJson(
                        2,
                        false,
                        SidecarFixture.serverJson(0, now.address(), "in_service", started)));
        SidecarFixture.awaitUntil("the old connection is closed", () -> old.open.get() == 0);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(moves ? 1 : 2, old.connections.get());
        now.close();
    }

    // ---- start and end ----

    @Test
    void isReadyOnlyWithKnownEndpoint() throws Exception {
        start();
        String readinessCheck = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        try (RawHttpConnection client = fixture.connect()) {
            assertEquals(503, client.send(readinessCheck).read().status());
        }
        stop();
        start(good());
        SidecarFixture.awaitUntil(
                "it is ready once it is warm",
                () -> {
                    try (RawHttpConnection client = fixture.connect()) {
                        return client.send(readinessCheck).read().status() == 200;
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    /**
     * Guards against requests lost at a planned restart: those in flight and those that still
     * arrive are served.
     */
    @Test
    void drainAnswersRequestsInFlightAndNewOnes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            if (request.headers().get("x-request-id").equals("r0")) {
                                release.await();
                            }
                            FakeEndpoint.answer(connection, 200, "", "served");
                        }));
        RawHttpConnection inFlight = fixture.connect().send(fixture.request("order", DEADLINE_MS));
        RawHttpConnection idle = fixture.connect();
        SidecarFixture.awaitUntil("one is in flight", () -> fixture.attemptCount() == 1);
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        int served = 0;
        for (boolean accepted = true; accepted; ) {
            try {
                assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
                served++;
            } catch (IOException e) {
                accepted = false;
            }
        }
        assertTrue(served > 0, "new connections are accepted for a while");
        idle.awaitEnd();
        assertTrue(drain.isAlive(), "it waits for requests in flight");
        release.countDown();
        RawHttpConnection.Message answer = inFlight.read();
        assertEquals(200, answer.status());
        assertEquals("close", answer.headers().get("connection"));
        drain.join();
        assertThrows(IOException.class, () -> fixture.connect());
    }

    /** Guards against disconnecting clients too early: no other sidecar may be up to serve them. */
    @Test
    void drainServesKeptAliveConnectionsUntilLastMoment() throws Exception {
        fixture = new SidecarFixture(good());
        fixture.latencyTargetMs = 200;
        fixture.start();
        try (RawHttpConnection keptAlive = fixture.connect()) {
            assertEquals(
                    200, keptAlive.send(fixture.request("order", DEADLINE_MS)).read().status());
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            SidecarFixture.awaitUntil(
                    "no more connections are accepted",
                    () -> {
                        try (RawHttpConnection late = fixture.connect()) {
                            return false;
                        } catch (IOException e) {
                            return true;
                        }
                    });
            RawHttpConnection.Message answer =
                    keptAlive.send(fixture.request("order", DEADLINE_MS)).read();
            assertEquals(200, answer.status());
            String remainingMs =
                    fixture.endpoints.get(0).requests.get(1).headers().get("x-deadline-ms");
            assertTrue(
                    Integer.parseInt(remainingMs) < 3700,
                    "it ends before SIGKILL may come, remaining ms: " + remainingMs);
            keptAlive.awaitEnd();
            drain.join();
        }
    }

    /** Guards against warm-up requests that reach endpoints, or discovery. */
    @Test
    void warmUpReachesNoEndpoint() throws Exception {
        start(good());
        SidecarFixture.awaitUntil("it is warm", () -> fixture.logText().contains("warm after"));
        assertEquals(0, fixture.endpoints.get(0).connections.get());
        // Discovery gets the first watch, which it does not answer, and nothing else.
        SidecarFixture.awaitUntil(
                "the watch has begun", () -> fixture.discovery.requests.size() > 0);
        assertEquals(1, fixture.discovery.requests.size());
        assertEquals(1, fixture.discovery.connections.get());
        assertTrue(fixture.discovery.requests.get(0).line().contains("index=1&"));
    }

    /** Guards against a warm-up that keeps a restarted sidecar out of service for too long. */
    @Test
    void warmUpEndsInTime() throws Exception {
        start(good());
        SidecarFixture.awaitUntil("it is warm", () -> fixture.logText().contains(" rounds"));
        Matcher warm = Pattern.compile("and (\\d+) rounds").matcher(fixture.logText());
        assertTrue(warm.find(), fixture.logText());
        int rounds = Integer.parseInt(warm.group(1));
        assertTrue(rounds > 0 && rounds <= 100, "rounds: " + rounds);
    }

    /** Guards against peers that hold a connection with an incomplete first or later request. */
    @ParameterizedTest
    @ValueSource(
            strings = {"\r", "GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"})
    void timesOutIncompleteRequestWithError(String part) throws Exception {
        start(good());
        try (RawHttpConnection fresh = fixture.connect();
                RawHttpConnection keptAlive = fixture.connect()) {
            fresh.send(part);
            assertEquals(200, keptAlive.send(fixture.request("read", DEADLINE_MS)).read().status());
            keptAlive.send(part);
            for (RawHttpConnection peer : List.of(fresh, keptAlive)) {
                RawHttpConnection.Message answer = peer.read();
                assertEquals(408, answer.status());
                assertEquals("close", answer.headers().get("connection"));
                peer.awaitEnd();
            }
        }
        assertEquals(1, fixture.attemptCount());
    }

    /** Guards against an error that a client takes for the response to a request sent meanwhile. */
    @Test
    void closesSilentConnectionWithoutResponse() throws Exception {
        start(good());
        try (RawHttpConnection silent = fixture.connect()) {
            assertEquals("", silent.readToEnd());
        }
    }

    /** Guards against closing the connection of a client that waits for a response. */
    @Test
    void doesNotTimeOutConnectionWithRequestInFlight() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            closed.await();
                            FakeEndpoint.answer(connection, 200, "", "served");
                        }));
        try (RawHttpConnection client = fixture.connect();
                RawHttpConnection silent = fixture.connect()) {
            client.send(fixture.request("order", DEADLINE_MS));
            silent.awaitEnd();
            closed.countDown();
            assertEquals(200, client.read().status());
        }
    }

    /** Guards against misbehaving peers that affect other clients. */
    @Test
    void servesOthersWhenPeersResetConnections() throws Exception {
        start(good());
        for (int i = 0; i < 20; i++) {
            fixture.connect().send("GET /api HT").reset();
            fixture.connect().send("\0\0\0\r\n\r\n").reset();
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        try (RawHttpConnection client = fixture.connect()) {
            client.send("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
            assertEquals(400, client.read().status());
            assertThrows(EOFException.class, client::read);
        }
    }
}
