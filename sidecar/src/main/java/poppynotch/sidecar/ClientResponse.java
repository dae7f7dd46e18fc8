package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The response to one request of a client. It is in one of three states: pending, until a response
 * is set by the {@link Exchange} or by the {@link RequestDispatcher}; started, once its {@link
 * ClientConnection} has written its head; finished, once its last byte is written to the channel.
 *
 * <p>It belongs to its connection, which starts responses in the order of their requests, and is
 * called on the sidecar's event loop only. Buffers that it writes are released by the channel; a
 * complete response that is never started holds heap buffers only, which need no release.
 */
final class ClientResponse implements ResponseHandler, RelayedBody.Sink {

    private static final double MS_PER_SECOND = 1000;

    private final ClientConnection connection;

    /** The id under which the exchange knows the request; null if it was not handed over. */
    private String requestId;

    private boolean keepAlive;

    /** Whether the request is HTTP/1.0. */
    private final boolean isHttp10;

    /** All of the response, or its head; null while the response is pending. */
    private HttpResponse message;

    /** Its body if that is relayed while it is received, else null. */
    private RelayedBody download;

    private boolean started;

    /** The connection is closed after it. */
    private boolean lastOnConnection;

    private boolean finished;

    /** Creates a pending response to a request with the given properties. */
    ClientResponse(ClientConnection connection, boolean keepAlive, boolean isHttp10) {
        this.connection = connection;
        this.keepAlive = keepAlive;
        this.isHttp10 = isHttp10;
    }

    /** Whether a response is set, so that it may be started. */
    boolean isReady() {
        return message != null;
    }

    boolean isStarted() {
        return started;
    }

    boolean isFinished() {
        return finished;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    /** The id under which the exchange knows the request, or null if it does not. */
    String requestId() {
        return requestId;
    }

    /** Sets the id under which the request is passed to the exchange. */
    void assignRequestId(String id) {
        requestId = id;
    }

    /** Closes the connection once this response is written. */
    void closeConnectionAfterwards() {
        keepAlive = false;
    }

    /**
     * Writes the response, or its head if its body is relayed.
     *
     * @param last whether the connection is closed after it
     */
    void start(boolean last) {
        lastOnConnection = last;
        if (last) {
            message.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        started = true;
        channel().writeAndFlush(message);
        if (download != null) {
            download.attach(this);
        } else {
            finish();
        }
    }

    /** Handles a change of the channel's writability. */
    void onWritabilityChanged(boolean writable) {
        if (started && download != null) {
            download.setDemand(writable);
        }
    }

    @Override
    public void onServed(EndpointResponse served) {
        HttpResponse head;
        if (served.stream() == null) {
            head = complete(HttpResponseStatus.OK, Unpooled.wrappedBuffer(served.body()));
        } else {
            head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            download = served.stream();
            setBodyFraming(head, served.contentLength());
        }
        if (served.contentType() != null) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, served.contentType());
        }
        respond(head);
    }

    /**
     * Sets the framing of a relayed body. HTTP/1.0 has no chunked coding, so for its clients a body
     * of unknown length ends with the connection.
     *
     * @param contentLength the length of the body in bytes, or -1 if it is not known
     */
    private void setBodyFraming(HttpResponse head, long contentLength) {
        if (contentLength >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
        } else if (isHttp10) {
            keepAlive = false;
        } else {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
    }

    @Override
    public void onChunk(ByteBuf chunk) {
        channel().writeAndFlush(new DefaultHttpContent(chunk));
        download.setDemand(channel().isWritable());
    }

    @Override
    public void onEnd() {
        channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        finish();
        connection.writeReadyResponses();
    }

    /**
     * Resets the connection, so that the client sees an incomplete body whatever its framing is.
     */
    @Override
    public void onFailure() {
        if (channel().isActive()) {
            channel().config().setOption(ChannelOption.SO_LINGER, 0);
            channel().close();
        }
    }

    /** Marks the response as finished, after which the connection may have to be closed. */
    private void finish() {
        finished = true;
        connection.onResponseFinished(lastOnConnection);
    }

    @Override
    public void onRejected(double coolDownMs) {
        FullHttpResponse rejection =
                complete(HttpResponseStatus.SERVICE_UNAVAILABLE, textBody("refused"));
        if (coolDownMs > 0) {
            rejection
                    .headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", coolDownMs / MS_PER_SECOND));
        }
        respond(rejection);
    }

    @Override
    public boolean isClientGone() {
        return connection.isGone();
    }

    @Override
    public void onFailed() {
        respond(complete(HttpResponseStatus.BAD_GATEWAY, textBody("failed")));
    }

    /**
     * Responds with one line of text.
     *
     * @param allowsKeepAlive whether the connection may stay open afterwards, if its client allows
     *     that
     */
    void respondPlain(HttpResponseStatus status, String line, boolean allowsKeepAlive) {
        keepAlive &= allowsKeepAlive;
        respond(complete(status, textBody(line)));
    }

    private void respond(HttpResponse response) {
        message = response;
        connection.writeReadyResponses();
    }

    private SocketChannel channel() {
        return connection.channel();
    }

    private static ByteBuf textBody(String line) {
        return Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static FullHttpResponse complete(HttpResponseStatus status, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return response;
    }
}
