package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a truncated response that is forwarded as complete, and against a complete one
 * that is discarded. Covers each way in which a server connection may end, for each framing of a
 * response, with the request fully written or not, on real sockets.
 */
class ResponseEndTest extends ExchangeHarness {

    /** It depends on timing whether a write or a read detects the end of a connection first. */
    private static final int REPETITIONS = 5;

    /** Exceeds the socket buffers of a connection. */
    private static final int LONG_REQUEST_BYTES = 12 * 1024 * 1024;

    private static final int READ_BEFORE_RESPONSE_BYTES = 64 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private enum Framing {
        LENGTH,
        CHUNKED,
        /** Without a length: the end of the connection delimits the response. */
        UNTIL_CLOSE,
        /** The response has a status without a body. */
        NO_BODY,
        /** With a length, and the attempt id of an earlier request. */
        STALE,
        /** Without a length, and with the attempt id of an earlier request. */
        STALE_UNTIL_CLOSE
    }

    private enum Sent {
        ALL,
        PART
    }

    private enum End {
        /** The server shuts down its output and continues to read. */
        ORDERLY,
        RESET,
        /** The bytes that follow are not a valid chunk. */
        MALFORMED
    }

    private enum Request {
        WRITTEN,
        /** Part of the request is not written yet when the response ends. */
        BEING_WRITTEN
    }

    private enum Expected {
        COMPLETE,
        TRUNCATED
    }

    private enum Arrival {
        /** The edge has read the response when the connection ends. */
        READ_BEFORE_END,
        /** The edge may detect the end before it reads the response. */
        ALONG_WITH_END
    }

    private record Row(
            Framing framing,
            Sent sent,
            End end,
            Request request,
            Arrival arrival,
            Expected expected) {}

    private final List<ServerSocket> listeners = new ArrayList<>();

    private static List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (Request request : Request.values()) {
            for (Arrival arrival : Arrival.values()) {
                addRows(rows, request, arrival);
            }
        }
        return rows;
    }

    private static void addRows(List<Row> rows, Request request, Arrival arrival) {
        for (End end : List.of(End.ORDERLY, End.RESET)) {
            for (Framing framing : List.of(Framing.LENGTH, Framing.CHUNKED)) {
                rows.add(new Row(framing, Sent.ALL, end, request, arrival, Expected.COMPLETE));
                rows.add(new Row(framing, Sent.PART, end, request, arrival, Expected.TRUNCATED));
            }
            rows.add(new Row(Framing.NO_BODY, Sent.ALL, end, request, arrival, Expected.COMPLETE));
            for (Framing framing : List.of(Framing.STALE, Framing.STALE_UNTIL_CLOSE)) {
                rows.add(new Row(framing, Sent.ALL, end, request, arrival, Expected.TRUNCATED));
            }
            boolean reset = end == End.RESET;
            rows.add(
                    new Row(
                            Framing.UNTIL_CLOSE,
                            Sent.ALL,
                            end,
                            request,
                            arrival,
                            reset ? Expected.TRUNCATED : Expected.COMPLETE));
        }
        rows.add(
                new Row(
                        Framing.UNTIL_CLOSE,
                        Sent.PART,
                        End.RESET,
                        request,
                        arrival,
                        Expected.TRUNCATED));
        rows.add(
                new Row(
                        Framing.CHUNKED,
                        Sent.PART,
                        End.MALFORMED,
                        request,
                        arrival,
                        Expected.TRUNCATED));
    }

    static Stream<Row> repeatedRows() {
        return rows().stream().flatMap(row -> IntStream.range(0, REPETITIONS).mapToObj(i -> row));
    }

    static Stream<Row> truncatedRows() {
        return rows().stream().filter(row -> row.expected() == Expected.TRUNCATED);
    }

    @AfterEach
    void closeListeners() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }

    /** A response that is reset while the request is written must not count as complete. */
    @ParameterizedTest
    @MethodSource("repeatedRows")
    void forwardsBufferedResponseOnlyIfComplete(Row row) throws Exception {
        startServer(row);
        RecordedResponse client = send("/once/");
        if (row.expected() == Expected.COMPLETE) {
            boolean empty = row.framing() == Framing.NO_BODY;
            assertThat(client.ended()).isEqualTo(empty ? "complete 204" : "complete 200");
            assertThat(client.body.toString()).isEqualTo(empty ? "" : EVENT_1 + EVENT_2);
        } else {
            assertThat(client.ended()).isEqualTo("SERVER_FAILED");
        }
    }

    /** A stream that is reset while the request is written must not count as complete. */
    @ParameterizedTest
    @MethodSource("repeatedRows")
    void endsEventStreamRegularlyOnlyIfComplete(Row row) throws Exception {
        startServer(row);
        RecordedResponse client = send("/stream/");
        if (row.expected() == Expected.COMPLETE) {
            boolean empty = row.framing() == Framing.NO_BODY;
            assertThat(client.ended()).isEqualTo("stream");
            assertThat(client.body.toString()).isEqualTo(empty ? "" : EVENT_1 + EVENT_2);
        } else {
            assertThat(client.ended())
                    .isEqualTo(client.responseHeads > 0 ? "aborted" : "SERVER_FAILED");
            assertThat(EVENT_1 + EVENT_2).startsWith(client.body.toString());
        }
    }

    @ParameterizedTest
    @MethodSource("truncatedRows")
    void idempotentRequestIsRetriedAfterTruncatedResponse(Row row) throws Exception {
        startServer(row);
        servers.add(new ScriptedServer(ScriptedServer.ok("elsewhere")));
        configure(List.of(address(0), servers.get(0).address()), 10_000);
        RecordedResponse client = send("/safe/");
        assertThat(client.ended()).isEqualTo("complete 200");
        assertThat(client.body.toString()).isEqualTo("elsewhere");
    }

    /** The events that the first server has sent are not sent again. */
    @Test
    void streamIsResumedAfterResetWhileRequestIsWritten() throws Exception {
        startServer(
                new Row(
                        Framing.UNTIL_CLOSE,
                        Sent.PART,
                        End.RESET,
                        Request.BEING_WRITTEN,
                        Arrival.READ_BEFORE_END,
                        Expected.TRUNCATED));
        servers.add(
                new ScriptedServer(
                        (head, out, socket) -> {
                            boolean resumes = ScriptedServer.header(head, "Last-Event-Id") != null;
                            String rest = resumes ? EVENT_2 : EVENT_1 + EVENT_2;
                            return ScriptedServer.events(true, rest).serve(head, out, socket);
                        }));
        configure(List.of(address(0), servers.get(0).address()), 10_000);
        RecordedResponse client = send("/resume/");
        assertThat(client.ended()).isEqualTo("stream");
        assertThat(client.body.toString()).isEqualTo(EVENT_1 + EVENT_2);
    }

    /** An edge that closes its own connections must not take that for the end of a response. */
    @Test
    void unframedResponseIsNotCompletedByShutdownOfEdge() throws Exception {
        CompletableFuture<Void> answered = new CompletableFuture<>();
        startServers(
                (head, out, socket) -> {
                    ScriptedServer.unframed(false, EVENT_1).serve(head, out, socket);
                    answered.complete(null);
                    socket.getInputStream().read();
                    return false;
                });
        RecordedResponse client = send("/stream/");
        answered.join();
        while (client.responseHeads == 0) {
            edge.loop().submit(() -> {}).sync();
        }
        edge.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        assertThat(client.end.getNow("open")).isNotEqualTo("stream");
    }

    private String address(int index) {
        return "127.0.0.1:" + listeners.get(index).getLocalPort();
    }

    private void startServer(Row row) throws Exception {
        requestBody = new byte[row.request() == Request.BEING_WRITTEN ? LONG_REQUEST_BYTES : 100];
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        listeners.add(listener);
        Thread server = new Thread(() -> serve(listener, row), "ending-server");
        server.setDaemon(true);
        server.start();
        configure(List.of(address(0)), 10_000);
    }

    private void serve(ServerSocket listener, Row row) {
        try (Socket socket = listener.accept()) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = ScriptedServer.readHead(in);
            in.readNBytes(
                    row.request() == Request.WRITTEN
                            ? requestBody.length
                            : READ_BEFORE_RESPONSE_BYTES);
            OutputStream out = socket.getOutputStream();
            ScriptedServer.write(out, response(row, head));
            if (row.arrival() == Arrival.READ_BEFORE_END) {
                awaitReading();
            }
            if (row.end() == End.RESET) {
                socket.setSoLinger(true, 0);
            } else {
                socket.shutdownOutput();
                in.transferTo(OutputStream.nullOutputStream());
            }
        } catch (IOException e) {
            if (row.end() != End.ORDERLY) {
                throw new UncheckedIOException(e);
            }
            // The edge closed the connection after the complete response.
        }
    }

    /** When the second task runs, the event loop has read all data received before the first. */
    private void awaitReading() {
        edge.loop().submit(() -> {}).syncUninterruptibly();
        edge.loop().submit(() -> {}).syncUninterruptibly();
    }

    private static String response(Row row, String requestHead) {
        boolean stale =
                row.framing() == Framing.STALE || row.framing() == Framing.STALE_UNTIL_CLOSE;
        String attemptId =
                stale ? "earlier" : ScriptedServer.header(requestHead, "X-Poppynotch-Attempt-Id");
        String status = row.framing() == Framing.NO_BODY ? "204 No Content" : "200 OK";
        return "HTTP/1.1 "
                + status
                + "\r\nX-Poppynotch-Attempt-Id: "
                + attemptId
                + "\r\nX-Poppynotch-Response-Seal: s\r\n"
                + framedBody(row);
    }

    private static String framedBody(Row row) {
        String all = EVENT_1 + EVENT_2;
        String sent = row.sent() == Sent.ALL ? all : EVENT_1;
        return switch (row.framing()) {
            case LENGTH, STALE -> "Content-Length: " + all.length() + "\r\n\r\n" + sent;
            case CHUNKED ->
                    "Transfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(sent.length())
                            + "\r\n"
                            + sent
                            + "\r\n"
                            + (row.end() == End.MALFORMED ? "no chunk\r\n" : "")
                            + (row.sent() == Sent.ALL ? "0\r\n\r\n" : "");
            case UNTIL_CLOSE, STALE_UNTIL_CLOSE -> "Connection: close\r\n\r\n" + sent;
            case NO_BODY -> "\r\n";
        };
    }
}
