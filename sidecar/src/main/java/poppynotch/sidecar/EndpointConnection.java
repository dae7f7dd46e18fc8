package poppynotch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import poppynotch.balancer.AttemptOutcome;

/**
 * The handler of one connection to an endpoint: it writes one request at a time and reads its
 * response. It is <em>connecting</em> or <em>busy</em> while it has an attempt, else <em>idle</em>
 * in its pool; once it is unusable it only waits for its channel's end.
 *
 * <p>It is owned by {@link EndpointPool} and runs on the sidecar's event loop. What the decoder
 * passes on is released here after it is read; what is written is released by the channel, and a
 * request whose connection does not come up is released here.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter implements RelayedBody.Sink {

    private final EndpointPool pool;
    private final MonotonicClock clock;
    private final RateLimitedLog log;
    private final Endpoint endpoint;

    /** The generation of the endpoint's connections that this one belongs to. */
    private final int generation;

    private final StrictResponseDecoder decoder = new StrictResponseDecoder();
    private final EndpointResponseReader reader;
    private Channel channel;

    /** The attempt that is connecting or in flight; null while the connection is idle. */
    private EndpointAttempt attempt;

    /** Bytes are being read just now, in the caller's own call. */
    private boolean reading;

    private double idleSinceMs;

    /** It ends by an error, or by this side's will: what has arrived is not complete. */
    private boolean unusable;

    EndpointConnection(
            EndpointPool pool, MonotonicClock clock, RateLimitedLog log, Endpoint endpoint) {
        this.pool = pool;
        this.clock = clock;
        this.log = log;
        this.endpoint = endpoint;
        generation = endpoint.generation();
        reader = new EndpointResponseReader(this, clock, log);
    }

    Endpoint endpoint() {
        return endpoint;
    }

    /** Since when it has been idle, on the sidecar's clock. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether it ends: what has arrived is not complete. */
    boolean isUnusable() {
        return unusable;
    }

    // ---- the request ----

    /** Connects and then writes the attempt's request, unless that must not go out any more. */
    void connect(Bootstrap bootstrap, EndpointAttempt first) {
        attempt = first;
        first.assignConnection(this);
        pool.onConnectionOpened();
        ChannelFuture connecting = bootstrap.clone().handler(this).connect(endpoint.address());
        channel = connecting.channel();
        channel.closeFuture().addListener(closed -> pool.onConnectionClosed());
        connecting.addListener(
                connected -> {
                    if (connected.isSuccess() && mayWrite(first)) {
                        writeRequest(first);
                    } else {
                        ReferenceCountUtil.release(first.request);
                        close();
                        onConnectionLost();
                    }
                });
    }

    /**
     * Whether the request may go out now: since the connect began, the attempt may have been
     * abandoned, or the endpoint may take nothing new any more.
     */
    private boolean mayWrite(EndpointAttempt first) {
        return first.isPending()
                && clock.nowMs() <= first.latestWriteMs
                && generation == endpoint.generation()
                && !endpoint.isDraining()
                && !pool.isBlocked(endpoint);
    }

    /** Writes an attempt's request on this connection, which is idle. */
    void reuse(EndpointAttempt next) {
        pool.removeIdle(this);
        attempt = next;
        next.assignConnection(this);
        writeRequest(next);
    }

    private void writeRequest(EndpointAttempt sent) {
        ChannelFuture writing = channel.writeAndFlush(sent.request);
        if (sent.upload == null) {
            onLastByteWritten(writing, sent);
        } else {
            sent.upload.attach(this);
        }
    }

    private void onLastByteWritten(ChannelFuture writing, EndpointAttempt sent) {
        writing.addListener(
                written -> {
                    sent.setWritten(written.isSuccess());
                    closeIfWriteFailed(written);
                });
    }

    /**
     * The library has closed the channel then, and what had arrived by that time is no complete
     * response.
     */
    private void closeIfWriteFailed(Future<?> written) {
        if (!written.isSuccess()) {
            close();
        }
    }

    /** Whether the last byte of the request has been handed to the network. */
    boolean isRequestWritten() {
        return attempt.isWritten();
    }

    @Override
    public void onChunk(ByteBuf data) {
        RelayedBody upload = attempt.upload;
        channel.writeAndFlush(new DefaultHttpContent(data)).addListener(this::closeIfWriteFailed);
        upload.setDemand(channel.isWritable());
    }

    @Override
    public void onEnd() {
        if (clock.nowMs() > attempt.latestWriteMs) {
            close();
        } else {
            onLastByteWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), attempt);
        }
    }

    @Override
    public void onFailure() {
        close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (attempt != null && attempt.upload != null && !attempt.isWritten()) {
            attempt.upload.setDemand(channel.isWritable());
        }
    }

    // ---- the response ----

    @Override
    public void channelRegistered(ChannelHandlerContext ctx) {
        ctx.pipeline().addBefore(ctx.name(), null, new HttpRequestEncoder());
        ctx.pipeline().addBefore(ctx.name(), null, new InboundGate());
        ctx.pipeline().addBefore(ctx.name(), null, decoder);
        ctx.fireChannelRegistered();
    }

    /**
     * Sees bytes before they are decoded: the beginning of a response alone would show nowhere
     * else. Bytes that it drops are released here; the decoder releases the others.
     */
    private final class InboundGate extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (expectsNothing()) {
                ReferenceCountUtil.release(bytes);
                EndpointConnection.this.close();
            } else {
                reading = true;
                ctx.fireChannelRead(bytes);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            reading = false;
            ctx.fireChannelReadComplete();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (expectsNothing()) {
                close();
            } else {
                reader.onMessage(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Whether what arrives now is out of step: nobody has asked for it, or what came before cannot
     * be read.
     */
    private boolean expectsNothing() {
        return attempt == null || unusable;
    }

    /** Reads on, or stops reading until more of the response is wanted. */
    void setReadEnabled(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** A large response to the attempt has begun. */
    void startStream(EndpointResponse response) {
        attempt.startStream(response);
    }

    /**
     * The attempt's response is complete, or known well enough; the connection becomes idle, or is
     * closed where it cannot be used again.
     *
     * @param reusable whether the response leaves the connection usable
     * @param relayed the body of the response where it was relayed, else null
     */
    void completeAttempt(
            AttemptOutcome outcome,
            EndpointResponse response,
            boolean reusable,
            RelayedBody relayed) {
        EndpointAttempt ended = attempt;
        boolean becomesIdle =
                reusable
                        && ended.isWritten()
                        && channel.isActive()
                        && !decoder.hasUnreadBytes()
                        && generation == endpoint.generation();
        attempt = null;
        ended.detachUpload();
        channel.config().setAutoRead(true);
        if (relayed != null) {
            relayed.complete();
        }
        // First the connection, then the notification: what that leads to may need the connection.
        if (becomesIdle) {
            idleSinceMs = clock.nowMs();
            pool.addIdle(this);
        } else {
            channel.close();
        }
        ended.finish(outcome, response);
    }

    // ---- the end ----

    /** Whether it is as it was left: nothing more has arrived, and it has not ended. */
    boolean isUsable() {
        if (!reading) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
        return channel.isActive() && !unusable;
    }

    /** Closes the connection; an attempt on it ends when the channel has become inactive. */
    void close() {
        unusable = true;
        pool.removeIdle(this);
        channel.close();
    }

    /** The connection is no more; the attempt on it ends by whether its last byte was written. */
    private void onConnectionLost() {
        pool.removeIdle(this);
        reader.abort();
        EndpointAttempt ended = attempt;
        attempt = null;
        if (ended != null) {
            ended.detachUpload();
            ended.finish(
                    ended.isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
        }
    }

    /**
     * Comes after the last of what was read, which may be a response that the connection's end
     * ends.
     */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onConnectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A reset is an everyday end of an attempt and reported as such; the rest the operators
        // should see.
        if (!(cause instanceof java.io.IOException)) {
            log.error("connection to an endpoint", cause);
        }
        unusable = true;
        close();
    }
}
