package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * For each framing of a response and each way in which an endpoint's connection may end, with the
 * request written or not: whether the response counts as complete, and what the client receives. On
 * real sockets.
 */
@Timeout(60)
class EndpointResponseEndTest {

    /** Cases are repeated, as it varies whether a write or a read detects an end first. */
    private static final int REPETITIONS = 5;

    private static final int DEADLINE_MS = 8000;

    /** More than the socket buffers of a connection hold. */
    private static final int LONG_REQUEST_BYTES = 24 * 1024 * 1024;

    private static final int READ_BEFORE_RESPONSE_BYTES = 64 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    /** More than the sidecar buffers: the response is relayed while it is received. */
    private static final int LARGE_RESPONSE_BYTES = 300_000;

    private enum Framing {
        LENGTH,
        CHUNKED,
        /** Without a length: the response announces that it ends with its connection. */
        UNTIL_CLOSE
    }

    private enum End {
        /** The endpoint ends its output and keeps reading. */
        ORDERLY,
        RESET
    }

    private record Row(Framing framing, boolean all, End end, boolean complete) {}

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        if (fixture != null) {
            fixture.close();
        }
    }

    private static List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (End end : End.values()) {
            for (Framing framed : List.of(Framing.LENGTH, Framing.CHUNKED)) {
                rows.add(new Row(framed, true, end, true));
                rows.add(new Row(framed, false, end, false));
            }
        }
        rows.add(new Row(Framing.UNTIL_CLOSE, true, End.ORDERLY, true));
        rows.add(new Row(Framing.UNTIL_CLOSE, true, End.RESET, false));
        rows.add(new Row(Framing.UNTIL_CLOSE, false, End.RESET, false));
        return rows;
    }

    static Stream<Row> repeatedRows() {
        return rows().stream().flatMap(row -> IntStream.range(0, REPETITIONS).mapToObj(i -> row));
    }

    private static String response(Row row, String status, int size) {
        String all = "x".repeat(size);
        String sent = row.all() ? all : all.substring(size / 2);
        String head = "HTTP/1.1 " + status + "\r\n";
        return switch (row.framing()) {
            case LENGTH -> head + "Content-Length: " + size + "\r\n\r\n" + sent;
            case CHUNKED ->
                    head
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(sent.length())
                            + "\r\n"
                            + sent
                            + "\r\n"
                            + (row.all() ? "0\r\n\r\n" : "");
            case UNTIL_CLOSE -> head + "Connection: close\r\n\r\n" + sent;
        };
    }

    private static void end(RawHttpConnection connection, End end) throws IOException {
        if (end == End.RESET) {
            connection.reset();
        } else {
            connection.socket.shutdownOutput();
            connection.readToEnd();
        }
    }

    /**
     * Starts a sidecar with an endpoint that responds and ends the connection in the row's way. It
     * resets only after the client has received a response that must be complete.
     */
    private SidecarFixture startAnswering(Row row, int responseBytes, CountDownLatch received)
            throws IOException {
        fixture =
                new SidecarFixture(
                        new FakeEndpoint(
                                (connection, request) -> {
                                    connection.send(response(row, "200 OK", responseBytes));
                                    if (row.complete() && row.end() == End.RESET) {
                                        received.await();
                                    }
                                    end(connection, row.end());
                                }));
        return fixture.start();
    }

    /** Guards against taking an incomplete response for complete when its connection is reset. */
    @ParameterizedTest
    @MethodSource("repeatedRows")
    void servesBufferedResponseOnlyIfComplete(Row row) throws Exception {
        startAnswering(row, 100, new CountDownLatch(0));
        RawHttpConnection.Message answer = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(row.complete() ? 200 : 502, answer.status());
        if (row.complete()) {
            assertEquals("x".repeat(100), answer.body());
        }
    }

    /** Guards against ending a relayed response as complete when its connection is reset. */
    @ParameterizedTest
    @MethodSource("repeatedRows")
    void relaysResponseAsCompleteOnlyIfComplete(Row row) throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        startAnswering(row, LARGE_RESPONSE_BYTES, received);
        try (RawHttpConnection client = fixture.connect()) {
            client.send(fixture.request("order", DEADLINE_MS));
            if (row.complete()) {
                assertEquals("x".repeat(LARGE_RESPONSE_BYTES), client.read().body());
                received.countDown();
            } else {
                assertBrokenOff(client);
            }
        }
    }

    /**
     * Asserts that the client gets an error, or a response that ends before its length or last
     * chunk.
     */
    private static void assertBrokenOff(RawHttpConnection client) throws IOException {
        try {
            assertEquals(502, client.read().status());
        } catch (EOFException | SocketException e) {
            // The response has no end, so it can't be taken for complete.
            return;
        }
    }

    /** Guards against accepting a status 200 before all of the request has been written. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void rejectsSuccessBeforeAllOfRequestIsWritten(Framing framing) throws Exception {
        startWithLongRequest(
                response(new Row(framing, true, End.RESET, false), "200 OK", 800), End.RESET);
        try (RawHttpConnection client = fixture.connect()) {
            sendLongRequest(client);
            RawHttpConnection.Message answer = client.read();
            assertTrue(answer.status() >= 500, answer.line());
        }
    }

    private void startWithLongRequest(String response, End end) throws IOException {
        FakeEndpoint endpoint =
                new FakeEndpoint((connection, request) -> {}) {
                    @Override
                    void serve(RawHttpConnection connection) throws Exception {
                        connection.socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
                        connection.readHead();
                        connection.readBytes(READ_BEFORE_RESPONSE_BYTES);
                        connection.send(response);
                        end(connection, end);
                    }
                };
        fixture = new SidecarFixture(endpoint);
        fixture.start();
    }

    private void sendLongRequest(RawHttpConnection client) {
        Thread sending =
                new Thread(
                        () -> {
                            try {
                                client.send(
                                        fixture.request("order", DEADLINE_MS)
                                                .replace(
                                                        "Content-Length: 5\r\n\r\nhello",
                                                        "Content-Length: "
                                                                + LONG_REQUEST_BYTES
                                                                + "\r\n\r\n"
                                                                + "y".repeat(LONG_REQUEST_BYTES)));
                            } catch (IOException e) {
                                // The sidecar has answered and reads no more.
                                return;
                            }
                        });
        sending.setDaemon(true);
        sending.start();
    }

    @ParameterizedTest
    @MethodSource("repeatedOtherRefusals")
    void acceptsOnlyCompleteRefusalBeforeAllOfRequestIsWritten(Row row) throws Exception {
        assertRefusalBeforeAllOfRequest(row);
    }

    /**
     * Guards against losing a refusal because a write detects the reset after it first: the
     * endpoint would count as unreachable.
     */
    @ParameterizedTest
    @MethodSource("repeatedWholeResetRefusals")
    @Tag("known-red")
    void wholeRefusalBeforeResetWhileRequestIsWritten(Row row) throws Exception {
        assertRefusalBeforeAllOfRequest(row);
    }

    /**
     * Guards against losing a refusal whose length is given by the orderly end of its connection:
     * writes of the request may fail at that end before the response is read, and the endpoint
     * would count as unreachable.
     */
    @ParameterizedTest
    @MethodSource("repeatedRefusalsUntilOrderlyClose")
    @Tag("known-red")
    void refusalUntilOrderlyCloseWhileRequestIsWritten(Row row) throws Exception {
        assertRefusalBeforeAllOfRequest(row);
    }

    private static boolean isWholeAndReset(Row row) {
        return row.complete() && row.end() == End.RESET;
    }

    private static boolean isUntilOrderlyClose(Row row) {
        return row.framing() == Framing.UNTIL_CLOSE && row.end() == End.ORDERLY;
    }

    static Stream<Row> repeatedOtherRefusals() {
        return repeatedRows().filter(row -> !isWholeAndReset(row) && !isUntilOrderlyClose(row));
    }

    static Stream<Row> repeatedRefusalsUntilOrderlyClose() {
        return repeatedRows().filter(EndpointResponseEndTest::isUntilOrderlyClose);
    }

    static Stream<Row> repeatedWholeResetRefusals() {
        return repeatedRows().filter(EndpointResponseEndTest::isWholeAndReset);
    }

    private void assertRefusalBeforeAllOfRequest(Row row) throws Exception {
        startWithLongRequest(response(row, "503 Full\r\nX-Not-Run: 1", 100), row.end());
        try (RawHttpConnection client = fixture.connect()) {
            sendLongRequest(client);
            assertTrue(client.read().status() >= 500);
        }
        String expected = row.complete() ? "queue_full" : "connect_error";
        SidecarFixture.awaitUntil(
                expected + " in " + fixture.logText(),
                () -> fixture.logText().toLowerCase(Locale.ROOT).contains(expected));
    }
}
