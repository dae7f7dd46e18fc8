package poppynotch.router;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelOutputShutdownException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.function.LongSupplier;
import poppynotch.settings.HostPort;
import poppynotch.transport.ByteExactRequestEncoder;
import poppynotch.transport.EndOfInputRecorder;
import poppynotch.transport.StrictResponseDecoder;

/**
 * An HTTP/1.1 connection to one server, with one request in flight at a time. It matches responses
 * to requests by the attempt id, which servers echo, and returns to the {@link IdleConnections}
 * after a complete response if the server keeps it open.
 *
 * <p>Used on the edge's event loop only. {@link #connectAndSend} and {@link #sendOnIdle} take
 * ownership of the request: the encoder releases it when it is written, this class if it is never
 * written. Received messages are released here, after the listener was called.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamCall {

    /**
     * An idle connection is reused only within this fraction of the server's keep-alive time: a
     * request that is written while the server closes the connection is reset, and may have been
     * executed.
     */
    private static final double KEEP_ALIVE_FRACTION = 0.85;

    private static final long DEFAULT_KEEP_ALIVE_MS = 4000;
    private static final long MS_PER_S = 1000;

    private final String serverId;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final IdleConnections idleConnections;
    private final StrictResponseDecoder decoder = new StrictResponseDecoder();
    private Channel channel;

    /** The request to write; null once it is written or released. */
    private FullHttpRequest unsentRequest;

    /** The receiver of the response; null if no request is in flight. */
    private UpstreamListener listener;

    private String attemptId;

    /** Whether the request was passed to the channel, so that the server may execute it. */
    private boolean written;

    /** The head of the current response; null between responses. */
    private HttpResponse head;

    /** Whether the current response belongs to an earlier request. */
    private boolean readingStaleResponse;

    private long idleSinceMs;
    private long idleUntilMs;

    /** How long the connection was idle before the current request; -1 before the first reuse. */
    private long idleBeforeRequestMs = -1;

    private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

    private final EndOfInputRecorder endOfInput = new EndOfInputRecorder();

    /**
     * Whether the connection was reset, or closed by the edge before the end of a response, so that
     * the received data may be truncated. This is separate from {@link #endOfInput}, because reads
     * after a write that reported a reset report an orderly end of input.
     */
    private boolean broken;

    /**
     * Creates a connection that is not open yet.
     *
     * @param clock milliseconds on a monotonic clock
     * @param idleConnections holds the connection between requests
     */
    UpstreamConnection(
            String serverId, EventLoop loop, LongSupplier clock, IdleConnections idleConnections) {
        this.serverId = serverId;
        this.loop = loop;
        this.clock = clock;
        this.idleConnections = idleConnections;
    }

    String serverId() {
        return serverId;
    }

    /** When the last response was completed. */
    long idleSinceMs() {
        return idleSinceMs;
    }

    /** The time from which on the connection must not be reused. */
    long idleUntilMs() {
        return idleUntilMs;
    }

    /** Whether the connection is open and has received no data beyond the last response. */
    boolean isReusable() {
        return channel.isActive() && !broken && !endOfInput.hasEnded() && !decoder.hasUnreadBytes();
    }

    void close() {
        channel.close();
    }

    // ---- Request ----

    /** Connects to {@code HOST:PORT} and sends the first request once the connection is open. */
    void connectAndSend(
            Bootstrap bootstrap,
            String address,
            FullHttpRequest request,
            UpstreamListener responseListener) {
        prepare(request, responseListener);
        ChannelFuture connecting =
                bootstrap.clone().handler(this).connect(HostPort.parse(address).socketAddress());
        channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (done.isSuccess() && listener != null) {
                        write();
                    } else {
                        releaseUnsentRequest();
                        channel.close();
                        notifyFailure(UpstreamListener.Failure.NOT_SENT);
                    }
                });
    }

    /** Sends a further request on this connection, which was idle. */
    void sendOnIdle(FullHttpRequest request, UpstreamListener responseListener) {
        idleBeforeRequestMs = clock.getAsLong() - idleSinceMs;
        prepare(request, responseListener);
        write();
    }

    private void prepare(FullHttpRequest request, UpstreamListener responseListener) {
        unsentRequest = request;
        listener = responseListener;
        attemptId = request.headers().get(Headers.ATTEMPT_ID);
        written = false;
        head = null;
        readingStaleResponse = false;
    }

    private void write() {
        FullHttpRequest request = unsentRequest;
        unsentRequest = null;
        written = true;
        // Reading may have been paused for the client of the previous request.
        channel.config().setAutoRead(true);
        channel.writeAndFlush(request).addListener(this::onRequestWritten);
    }

    /**
     * Handles a failed write, which means that the server has reset the connection. Data received
     * before the reset is still to be read, and may be a complete response.
     */
    private void onRequestWritten(Future<?> writing) {
        if (writing.isSuccess()) {
            return;
        }
        broken = true;
        boolean canReadOn = writing.cause() instanceof ChannelOutputShutdownException;
        if (listener == null || !canReadOn) {
            channel.close();
        }
    }

    /** Closes the connection although the current response may be incomplete. */
    private void abandon() {
        broken = true;
        channel.close();
    }

    private void releaseUnsentRequest() {
        if (unsentRequest != null) {
            ReferenceCountUtil.release(unsentRequest);
            unsentRequest = null;
        }
    }

    @Override
    public boolean cancel() {
        listener = null;
        releaseUnsentRequest();
        channel.close();
        return written;
    }

    @Override
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    // ---- Response ----

    @Override
    public void channelRegistered(ChannelHandlerContext ctx) {
        ctx.pipeline().addBefore(ctx.name(), null, new ByteExactRequestEncoder());
        ctx.pipeline().addBefore(ctx.name(), null, endOfInput);
        ctx.pipeline().addBefore(ctx.name(), null, decoder);
        ctx.fireChannelRegistered();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (listener == null) {
                // No request is in flight, so this message belongs to no request.
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content && head != null && listener != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            abandon();
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        String responseId = response.headers().get(Headers.ATTEMPT_ID);
        if (responseId == null && attemptId != null) {
            // Servers always echo the id; without it the response can't be matched to a request.
            abandon();
            return;
        }
        head = response;
        readingStaleResponse = attemptId != null && !responseId.equals(attemptId);
        if (!readingStaleResponse) {
            long announcedS = Headers.keepAliveSeconds(response.headers());
            if (announcedS >= 0) {
                keepAliveMs = (long) (announcedS * MS_PER_S * KEEP_ALIVE_FRACTION);
            }
            listener.onHead(response);
        }
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            abandon();
            return;
        }
        ByteBuf data = content.content();
        if (!readingStaleResponse && data.isReadable()) {
            listener.onContent(data);
        }
        if (content instanceof LastHttpContent) {
            onLastContent();
        }
    }

    private void onLastContent() {
        HttpResponse endedHead = head;
        head = null;
        if (readingStaleResponse) {
            readingStaleResponse = false;
            return;
        }
        if (listener == null) {
            // The listener cancelled the call in onContent.
            return;
        }
        UpstreamListener endedListener = listener;
        listener = null;
        boolean framed = Headers.isFramed(endedHead);
        // An unframed response is complete only if the server closed the connection in order.
        boolean complete = framed || (endOfInput.hasEnded() && !broken);
        if (framed && HttpUtil.isKeepAlive(endedHead) && isReusable()) {
            becomeIdle();
        } else {
            channel.close();
        }
        if (complete) {
            endedListener.onComplete();
        } else {
            endedListener.onFailure(UpstreamListener.Failure.INCOMPLETE);
        }
    }

    private void becomeIdle() {
        idleSinceMs = clock.getAsLong();
        idleUntilMs = idleSinceMs + keepAliveMs;
        if (keepAliveMs > 0) {
            idleConnections.add(this);
        } else {
            channel.close();
        }
    }

    // ---- End of the connection ----

    /** Closes the connection when the server ends its output, even while a request is written. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            channel.close();
        }
        ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        idleConnections.remove(this);
        if (channel != null && channel.isOpen()) {
            channel.close();
        }
        boolean hadNoResponse = listener != null && head == null;
        if (hadNoResponse && idleBeforeRequestMs >= 0) {
            idleConnections.onResetAfterIdle(idleBeforeRequestMs);
        }
        notifyFailure(UpstreamListener.Failure.INCOMPLETE);
    }

    /**
     * Notifies the listener in a later task of the event loop, as it may send on other connections.
     */
    private void notifyFailure(UpstreamListener.Failure failure) {
        UpstreamListener failedListener = listener;
        listener = null;
        if (failedListener != null) {
            loop.execute(() -> failedListener.onFailure(failure));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        ctx.close();
    }
}
