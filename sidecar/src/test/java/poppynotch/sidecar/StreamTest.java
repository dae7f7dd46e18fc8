package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies that are too large to buffer, and clients that are slow to send or read them. */
@Timeout(60)
class StreamTest {

    private static final int DEADLINE_MS = 8000;
    private static final int SIZE = 1_000_000;

    private SidecarFixture fixture;

    private SidecarFixture start(FakeEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        if (fixture != null) {
            fixture.close();
        }
    }

    /** A body whose content depends on the position, so that reordered bytes are detected. */
    private static String body(int size) {
        StringBuilder body = new StringBuilder(size + 8);
        while (body.length() < size) {
            body.append(body.length()).append(' ');
        }
        return body.substring(0, size);
    }

    private static String chunked(String body, int chunk) {
        StringBuilder chunks = new StringBuilder();
        for (int i = 0; i < body.length(); i += chunk) {
            String part = body.substring(i, Math.min(body.length(), i + chunk));
            chunks.append(Integer.toHexString(part.length()))
                    .append(";x=y\r\n")
                    .append(part)
                    .append("\r\n");
        }
        return chunks + "0\r\nX-Trailer: t\r\n\r\n";
    }

    private String upload(String framing) {
        return fixture.request("order", DEADLINE_MS)
                .replace("Content-Length: 5\r\n\r\nhello", framing);
    }

    // ---- responses ----

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void relaysLargeResponseUnchangedAndKeepsConnections(boolean chunks) throws Exception {
        String large = body(SIZE);
        start(
                new FakeEndpoint(
                        (connection, request) ->
                                connection.send(
                                        "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"
                                                + (chunks
                                                        ? "Transfer-Encoding: chunked\r\n\r\n"
                                                                + chunked(large, 7000)
                                                        : "Content-Length: "
                                                                + SIZE
                                                                + "\r\n\r\n"
                                                                + large))));
        try (RawHttpConnection client = fixture.connect()) {
            for (int i = 0; i < 3; i++) {
                RawHttpConnection.Message answer =
                        client.send(fixture.request("read", DEADLINE_MS)).read();
                assertEquals(200, answer.status());
                assertEquals("text/x", answer.headers().get("content-type"));
                assertEquals(large, answer.body());
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get());
    }

    /** Guards against a response that a client of HTTP/1.0 cannot read. */
    @Test
    void sendsNoChunksToHttp10Client() throws Exception {
        String large = body(SIZE);
        start(
                new FakeEndpoint(
                        (connection, request) ->
                                connection.send(
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                + chunked(large, 7000))));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(fixture.request("read", DEADLINE_MS).replace("HTTP/1.1", "HTTP/1.0"));
            assertFalse(client.readHead().contains("chunked"));
            assertEquals(large, client.readToEnd());
        }
    }

    /** Guards against a timeout that cuts off a response that the endpoint still sends. */
    @Test
    void stopsTimeoutOnceLargeResponseHasBegun() throws Exception {
        String large = body(SIZE);
        CountDownLatch late = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            if (request.headers().get("x-request-id").equals("r0")) {
                                connection.send(
                                        "HTTP/1.1 200 OK\r\nContent-Length: " + SIZE + "\r\n\r\n");
                                connection.send(large.substring(0, 9000));
                                late.await();
                                connection.send(large.substring(9000));
                            } else {
                                connection.awaitEnd();
                            }
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(fixture.request("order", 300));
            client.readHead();
            assertEquals(
                    large.substring(0, 9000),
                    client.readBytes(9000),
                    "received data is passed on at once");
            assertFalse(
                    fixture.sendRequest("order", 400).status() == 200,
                    "a later deadline has passed");
            late.countDown();
            assertEquals(large.substring(9000), client.readBytes(SIZE - 9000));
        }
    }

    /** Guards against an incomplete response that the client takes for complete. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 1000000", "Transfer-Encoding: chunked"})
    void resetsClientWhenLargeResponseBreaks(String framing) throws Exception {
        String part = body(200_000);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            connection.send(
                                    "HTTP/1.1 200 OK\r\n"
                                            + framing
                                            + "\r\n\r\n"
                                            + (framing.startsWith("C")
                                                    ? part
                                                    : "f4240\r\n" + part));
                            connection.socket.shutdownOutput();
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(fixture.request("read", DEADLINE_MS));
            assertThrows(
                    IOException.class,
                    () -> {
                        if (client.read().body().length() < SIZE) {
                            throw new IOException("it ends before its length");
                        }
                    });
        }
        assertEquals(1, fixture.attemptCount());
    }

    /**
     * A response may end with its connection, if it announces that and the connection is not reset.
     */
    @ParameterizedTest
    @CsvSource({
        "6,true,true",
        "1000000,true,true",
        "6,false,true",
        "6,true,false",
        "1000000,true,false"
    })
    void acceptsResponseEndedByCloseOnlyIfAnnounced(int size, boolean announced, boolean orderly)
            throws Exception {
        String content = body(size);
        CountDownLatch arrived = new CountDownLatch(1);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            connection.send(
                                    "HTTP/1.1 200 OK\r\n"
                                            + (announced ? "Connection: close\r\n" : "")
                                            + "\r\n"
                                            + content);
                            if (orderly) {
                                connection.socket.shutdownOutput();
                            } else if (size > RelayedBody.MAX_BUFFERED_BYTES) {
                                arrived.await();
                                connection.reset();
                            } else {
                                connection.reset();
                            }
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(fixture.request("order", DEADLINE_MS));
            if (!orderly && size > RelayedBody.MAX_BUFFERED_BYTES) {
                client.readHead();
                arrived.countDown();
                assertThrows(IOException.class, client::readChunks);
            } else {
                RawHttpConnection.Message answer = client.read();
                assertEquals(announced && orderly ? 200 : 502, answer.status());
                assertEquals(announced && orderly, answer.body().equals(content));
            }
        }
    }

    /** Guards against an impossible length: the response is rejected and the request is retried. */
    @Test
    void failsResponseOfImpossibleLength() throws Exception {
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            if (fixture.attemptCount() == 1) {
                                connection.send(
                                        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
                                                + body(SIZE));
                            } else {
                                FakeEndpoint.answer(connection, 200, "", "served");
                            }
                        }));
        RawHttpConnection.Message answer = fixture.sendRequest("read", DEADLINE_MS);
        assertEquals(200, answer.status());
        assertEquals("served", answer.body());
        assertEquals(2, fixture.attemptCount());
    }

    @Test
    void closesEndpointConnectionWhenClientLeavesLargeResponse() throws Exception {
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            connection.send(
                                    "HTTP/1.1 200 OK\r\nContent-Length: "
                                            + SIZE
                                            + "\r\n\r\n"
                                            + body(9000));
                            connection.awaitEnd();
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(fixture.request("read", DEADLINE_MS));
            client.readHead();
            assertEquals(body(9000), client.readBytes(9000));
        }
        SidecarFixture.awaitUntil(
                "the connection to the endpoint is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
        SidecarFixture.awaitUntil(
                "the request is logged",
                () -> fixture.logText().contains("requestId=r0, conclusion=served"));
    }

    @Test
    void writesResponsesBehindLargeOneInOrder() throws Exception {
        String large = body(SIZE);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            boolean first = request.headers().get("x-request-id").equals("r0");
                            FakeEndpoint.answer(connection, 200, "", first ? large : body(300_000));
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(
                    fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS));
            assertEquals(large, client.read().body());
            assertEquals(body(300_000), client.read().body());
        }
    }

    // ---- requests ----

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void relaysLargeRequestUnchanged(boolean chunks) throws Exception {
        String large = body(SIZE);
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            for (int i = 0; i < 2; i++) {
                client.send(
                        upload(
                                chunks
                                        ? "Transfer-Encoding: chunked\r\n\r\n"
                                                + chunked(large, 7000)
                                        : "Content-Length: " + SIZE + "\r\n\r\n" + large));
                assertEquals(200, client.read().status());
                assertEquals(large, fixture.endpoints.get(0).requests.get(i).body());
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get());
    }

    /** A client may wait for a {@code 100 Continue} before it sends its body. */
    @ParameterizedTest
    @ValueSource(ints = {5, SIZE})
    void sendsContinueWhenExpected(int size) throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(upload("Expect: 100-continue\r\nContent-Length: " + size + "\r\n\r\n"));
            assertTrue(client.readHead().startsWith("HTTP/1.1 100 "));
            client.send(body(size));
            assertEquals(200, client.read().status());
        }
        assertEquals(body(size), fixture.endpoints.get(0).requests.get(0).body());
    }

    /**
     * Guards against a retry with half a body: once its beginning is dropped, the request is
     * rejected.
     */
    @Test
    void retriesLargeRequestOnlyWhileItIsBuffered() throws Exception {
        String large = body(SIZE);
        FakeEndpoint unreachable = FakeEndpoint.answering(200, "", "");
        unreachable.close();
        start(unreachable, FakeEndpoint.answering(200, "", "served"));
        for (int i = 0; i < 2; i++) {
            try (RawHttpConnection client = fixture.connect()) {
                client.send(upload("Content-Length: " + SIZE + "\r\n\r\n" + large));
                assertEquals(200, client.read().status());
            }
        }
        fixture.close();
        Predicate<String> isLogged = id -> fixture.logText().contains("requestId=" + id);
        start(
                new FakeEndpoint((connection, request) -> {}) {
                    @Override
                    void serve(RawHttpConnection connection) throws IOException {
                        connection.readHead();
                        connection.readBytes(200_000);
                        connection.reset();
                    }
                });
        try (RawHttpConnection client = fixture.connect()) {
            client.send(
                    upload("Content-Length: " + SIZE + "\r\n\r\n" + large.substring(0, SIZE / 2)));
            assertEquals(503, client.read().status());
            SidecarFixture.awaitUntil(
                    "its end is logged", () -> isLogged.test("r0, conclusion=refused"));
            assertEquals(1, fixture.endpoints.get(0).connections.get());
        }
    }

    /** Guards against a limit on the total time of a body: only its data rate is limited. */
    @Test
    void countsDeadlineOfLargeRequestFromItsLastByte() throws Exception {
        String large = body(SIZE);
        start(
                new FakeEndpoint(
                        (connection, request) -> {
                            if (request.body().length() == SIZE) {
                                FakeEndpoint.answer(connection, 200, "", "served");
                            } else {
                                connection.awaitEnd();
                            }
                        }));
        try (RawHttpConnection client = fixture.connect()) {
            String request = upload("Content-Length: " + SIZE + "\r\n\r\n").replace("8000", "300");
            client.send(request + large.substring(0, SIZE / 2));
            assertFalse(
                    fixture.sendRequest("read", 400).status() == 200,
                    "the deadline has passed, had it counted from the first byte");
            client.send(large.substring(SIZE / 2));
            assertEquals(200, client.read().status());
        }
    }

    @Test
    void rejectsRequestOfImpossibleLengthByItsHead() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(upload("Content-Length: 3000000000\r\n\r\n"));
            assertEquals(413, client.read().status());
            client.awaitEnd();
        }
        assertEquals(0, fixture.attemptCount());
    }

    @Test
    void timesOutLargeRequestThatStalls() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(upload("Content-Length: " + SIZE + "\r\n\r\n" + body(100_000)));
            assertEquals(408, client.read().status());
            client.awaitEnd();
        }
        SidecarFixture.awaitUntil(
                "the connection to the endpoint is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
        assertEquals(0, fixture.attemptCount());
    }

    /**
     * Guards against peers that together fill the memory with incomplete bodies, each just small
     * enough to be buffered instead of relayed.
     */
    @Test
    void rejectsIncompleteBodiesBeforeMemoryIsFull() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served"));
        fixture.memoryMb = 2;
        fixture.start();
        String part = body(RelayedBody.MAX_BUFFERED_BYTES - 100);
        List<RawHttpConnection> peers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            peers.add(
                    fixture.connect()
                            .send(
                                    upload(
                                            "Content-Length: "
                                                    + RelayedBody.MAX_BUFFERED_BYTES
                                                    + "\r\n\r\n"
                                                    + part)));
        }
        int refused = 0;
        for (RawHttpConnection peer : peers) {
            refused += peer.read().status() == 503 ? 1 : 0;
            peer.close();
        }
        assertTrue(
                refused > 0, "four are buffered, an eighth of 2 MB, and the others are rejected");
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, fixture.attemptCount());
    }

    @Test
    void removesHeadersNamedByConnectionHeader() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(
                    fixture.request("read", DEADLINE_MS)
                            .replace(
                                    "Host:",
                                    "Connection: X-Hop, X-Request-Id\r\n"
                                            + "X-Hop: 1\r\n"
                                            + "X-End: 2\r\n"
                                            + "Host:"));
            assertEquals(200, client.read().status());
        }
        RawHttpConnection.Message seen = fixture.endpoints.get(0).requests.get(0);
        assertFalse(seen.headers().containsKey("x-hop"));
        assertEquals("2", seen.headers().get("x-end"));
        assertEquals("r0", seen.headers().get("x-request-id"));
    }

    @Test
    void acceptsTargetWithSchemeAndHost() throws Exception {
        start(FakeEndpoint.answering(200, "", "served"));
        try (RawHttpConnection client = fixture.connect()) {
            client.send(
                    fixture.request("read", DEADLINE_MS)
                            .replace("GET /api", "GET http://app.svc/api"));
            assertEquals(200, client.read().status());
        }
        assertEquals("GET /api?q=1 HTTP/1.1", fixture.endpoints.get(0).requests.get(0).line());
    }

    // ---- flow control ----

    /** Guards against memory use that grows with the body: a full sink stops the source. */
    @Test
    void stopsSourceWhenSinkIsFull() {
        List<Boolean> readEnabled = new ArrayList<>();
        List<String> parts = new ArrayList<>();
        RelayedBody body =
                new RelayedBody(new MonotonicClock(), readEnabled::add, Unpooled.buffer());
        body.append(Unpooled.copiedBuffer(new byte[] {'a'}));
        assertTrue(body.isReplayable());
        RelayedBody.Sink sink =
                new RelayedBody.Sink() {
                    @Override
                    public void onChunk(ByteBuf data) {
                        parts.add(data.toString(java.nio.charset.StandardCharsets.US_ASCII));
                        data.release();
                        body.setDemand(false);
                    }

                    @Override
                    public void onEnd() {
                        parts.add("end");
                    }

                    @Override
                    public void onFailure() {
                        parts.add("broken");
                    }
                };
        body.attach(sink);
        assertTrue(body.isReplayable(), "all of it can still be sent again");
        body.detach(sink);
        body.attach(sink);
        body.append(Unpooled.copiedBuffer(new byte[] {'b'}));
        assertFalse(body.isReplayable());
        body.setDemand(true);
        body.complete();
        assertEquals(List.of("a", "a", "b", "end"), parts);
        assertEquals(List.of(false, true, false, true, false, true), readEnabled);
    }
}
