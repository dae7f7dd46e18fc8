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
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.function.LongSupplier;
import poppynotch.settings.HostPort;
import poppynotch.transport.EndOfInputRecorder;
import poppynotch.transport.StrictResponseDecoder;

/**
 * An HTTP/1.1 connection to one server, with one request in flight at a time. It matches responses
 * to requests by the attempt id, which servers echo, and returns to the {@link IdleConnections}
 * after a complete response where the server keeps it open.
 *
 * <p>Used on the edge's event loop only. It owns a request from {@link #start} or {@link #restart}
 * on: the encoder releases it once it is written, the connection itself if it never is. Messages
 * that arrive are released here, after the listener has seen them.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements UpstreamCall {

    /**
     * An idle connection is used only for a fraction of the time after which the server may close
     * it: what is written while the server closes is reset, and may have been executed.
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

    /** The request that is to be written; null once it is written, or released. */
    private FullHttpRequest unsentRequest;

    /** Who receives the response; null where no request is in flight. */
    private UpstreamListener listener;

    private String attemptId;

    /** Some of the request was handed to the network: it may be executed. */
    private boolean written;

    /** The head of the response that is being read; null between responses. */
    private HttpResponse head;

    /** The response that is being read belongs to an earlier request. */
    private boolean readingStaleResponse;

    private long idleSinceMs;
    private long idleUntilMs;

    /** How long it was idle before the present request; -1 before its first reuse. */
    private long idleBeforeRequestMs = -1;

    private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

    private final EndOfInputRecorder endOfInput = new EndOfInputRecorder();

    /**
     * The connection was reset, or is given up by this side: what arrived may lack its end. It is
     * kept apart from {@link #endOfInput}, as a reset that a write has reported looks like an
     * orderly end to the reads after it.
     */
    private boolean broken;

    /**
     * A connection that is not open yet.
     *
     * @param clock milliseconds on a monotonic clock
     * @param idleConnections where it waits between requests
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

    /** When the last response was complete. */
    long idleSinceMs() {
        return idleSinceMs;
    }

    /** From when on the connection must not be reused. */
    long idleUntilMs() {
        return idleUntilMs;
    }

    /** Whether it is open and nothing arrived on it that no request has asked for. */
    boolean isReusable() {
        return channel.isActive() && !broken && !endOfInput.hasEnded() && !decoder.hasUnreadBytes();
    }

    void close() {
        channel.close();
    }

    // ---- Request ----

    /** Connects to {@code HOST:PORT} and sends the first request once the connection is open. */
    void start(
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

    /** Sends a further request on a connection that was idle. */
    void restart(FullHttpRequest request, UpstreamListener responseListener) {
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
        // Reading may have been paused for the client of the request before.
        channel.config().setAutoRead(true);
        channel.writeAndFlush(request).addListener(this::onRequestWritten);
    }

    /**
     * Where a write fails, the server has reset the connection. What arrived before that is still
     * to be read, and may be a complete response.
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

    /** Closes the connection though the response on it may not be complete. */
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
        ctx.pipeline().addBefore(ctx.name(), null, new HttpRequestEncoder());
        ctx.pipeline().addBefore(ctx.name(), null, endOfInput);
        ctx.pipeline().addBefore(ctx.name(), null, decoder);
        ctx.fireChannelRegistered();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (listener == null) {
                // No request is in flight that this could be a response to.
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
            // Servers always echo the id: which request this responds to can't be known.
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
            // The listener cancelled the call when it saw the content.
            return;
        }
        UpstreamListener endedListener = listener;
        listener = null;
        boolean framed = Headers.isFramed(endedHead);
        // An unframed response is complete if the server closed the connection in good order.
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

    /** A server that has ended its output gets no more of a request. */
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
     * Notifies the listener in a later turn of the event loop: it may send on other connections.
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
