package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import poppynotch.balancer.AttemptOutcome;

/**
 * Assembles the responses on one connection to an endpoint: a small body is buffered, a large one
 * is relayed while it is received. It belongs to its {@link EndpointConnection} and runs on the
 * sidecar's event loop. It copies what it needs of a message, which the caller releases; its own
 * buffers are on the heap and need no release.
 */
final class EndpointResponseReader {

    private static final String NOT_RUN_HEADER = "X-Not-Run";

    private final EndpointConnection connection;
    private final MonotonicClock clock;
    private final RateLimitedLog log;

    /** The head of the response that is being received, or null. */
    private HttpResponse head;

    /** The received part of its body, while the body is buffered; else null. */
    private ByteBuf body;

    /** Its body if that is relayed while it is received, else null. */
    private RelayedBody download;

    EndpointResponseReader(
            EndpointConnection connection, MonotonicClock clock, RateLimitedLog log) {
        this.connection = connection;
        this.clock = clock;
        this.log = log;
    }

    /** Handles the next decoded message, which the caller releases. */
    void onMessage(Object message) {
        if (message instanceof HttpResponse response && !acceptHead(response)) {
            connection.close();
            return;
        }
        if (head != null && message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private boolean acceptHead(HttpResponse response) {
        head = response;
        body = Unpooled.buffer();
        // An endpoint runs a request only once it has the last byte: an earlier 200 is invalid.
        boolean early = response.status().code() == 200 && !connection.isRequestWritten();
        if (early
                || response.decoderResult().isFailure()
                || hasUnsupportedCoding(response)
                || HttpUtil.getContentLength(response, 0L) > RelayedBody.MAX_LENGTH_BYTES) {
            log.warn(
                    "Invalid response: cause",
                    early ? "status 200 before the end of the request" : response.decoderResult());
            return false;
        }
        return true;
    }

    /**
     * Whether the body has a transfer coding other than chunked, which would have to be decoded to
     * relay it.
     */
    private static boolean hasUnsupportedCoding(HttpResponse response) {
        return response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (content.decoderResult().isFailure() || (last && connection.isUnusable())) {
            log.warn("Incomplete response: decoderResult", content.decoderResult());
            connection.close();
            return;
        }
        if (download == null) {
            body.writeBytes(content.content());
        } else if (content.content().isReadable()) {
            download.append(content.content());
        }
        int status = head.status().code();
        if (!last) {
            startStreamIfLarge(status);
        } else if (status < 200) {
            abort();
        } else if (isEndedByClose()) {
            // Only a response that announces a close may end with its connection.
            log.warn("Response without length or chunks: status", status);
            connection.close();
        } else {
            complete(status);
        }
    }

    private boolean isEndedByClose() {
        return HttpUtil.isKeepAlive(head)
                && !HttpUtil.isContentLengthSet(head)
                && !HttpUtil.isTransferEncodingChunked(head);
    }

    private void startStreamIfLarge(int status) {
        long contentLength = HttpUtil.getContentLength(head, -1L);
        boolean large =
                body != null
                        && (body.readableBytes() > RelayedBody.MAX_BUFFERED_BYTES
                                || (contentLength > RelayedBody.MAX_BUFFERED_BYTES
                                        && body.isReadable()));
        if (large && status == 200) {
            download = new RelayedBody(clock, connection::setReadEnabled, body);
            body = null;
            connection.startStream(
                    new EndpointResponse(contentType(), null, download, contentLength));
        } else if (large) {
            // Only the status of other responses is used, so the rest of the body is not read.
            complete(status);
        }
    }

    private void complete(int status) {
        AttemptOutcome outcome = outcome(status);
        EndpointResponse response = null;
        if (outcome == AttemptOutcome.OK && download == null) {
            response = new EndpointResponse(contentType(), ByteBufUtil.getBytes(body), null, 0);
        }
        boolean reusable =
                HttpUtil.isKeepAlive(head)
                        && (body == null || body.readableBytes() <= RelayedBody.MAX_BUFFERED_BYTES);
        RelayedBody relayed = download;
        download = null;
        abort();
        connection.completeAttempt(outcome, response, reusable, relayed);
    }

    private AttemptOutcome outcome(int status) {
        if (status == 200) {
            return AttemptOutcome.OK;
        }
        boolean notRun = "1".equals(head.headers().get(NOT_RUN_HEADER));
        return (status == 503 || status == 504) && notRun
                ? AttemptOutcome.QUEUE_FULL
                : AttemptOutcome.FAILED;
    }

    private String contentType() {
        return head.headers().get(HttpHeaderNames.CONTENT_TYPE);
    }

    /** Discards the response that is being received; a relayed body fails. */
    void abort() {
        if (download != null) {
            download.fail();
            download = null;
        }
        body = null;
        head = null;
    }
}
