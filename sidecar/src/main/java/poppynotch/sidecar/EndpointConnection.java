package poppynotch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.transport.ByteExactRequestEncoder;

/**
 * The handler of one connection to an endpoint: it writes one request at a time and reads its
 * response. It is <em>connecting</em> or <em>busy</em> while it has an attempt, else <em>idle</em>
 * in its pool; once it is unusable it only waits for its channel to close.
 *
 * <p>It is owned by {@link EndpointPool} and runs on the sidecar's event loop. Decoded messages are
 * released here after they are read; written messages are released by the channel, and a request
 * whose connection cannot be established is released here.
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

    /** A channel read is in progress, so {@link #isUsable} must not start another. */
    private boolean reading;

    private double idleSinceMs;

    /** It has failed or is being closed by this side: a response in progress is incomplete. */
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

    /** When it became idle, on the sidecar's clock. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether it has failed or is being closed, so that a response in progress is incomplete. */
    boolean isUnusable() {
        return unusable;
    }

    // ---- the request ----

    /** Connects and then writes the attempt's request, unless it must not be sent any more. */
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
     * Whether the request may be sent now: since the connect began, the attempt may have been
     * abandoned, its latest time to write may have passed, or the endpoint may have stopped taking
     * new requests.
     */
    private boolean mayWrite(EndpointAttempt first) {
        return first.isPending()
                && clock.nowMs() <= first.latestWriteMs
                && generation == endpoint.generation()
                && !endpoint.isDraining()
                && !pool.isBlocked(endpoint);
    }

    /** Writes an attempt's request on this idle connection. */
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
     * Ends the connection after a failed write: Netty has closed its channel, and a response
     * received up to then is incomplete.
     */
    private void closeIfWriteFailed(Future<?> written) {
        if (!written.isSuccess()) {
            close();
        }
    }

    /** Whether the last byte of the request has been written to the socket. */
    boolean isRequestWritten() {
        return attempt.isWritten();
    }

    @Override
    public void onChunk(ByteBuf chunk) {
        RelayedBody upload = attempt.upload;
        channel.writeAndFlush(new DefaultHttpContent(chunk)).addListener(this::closeIfWriteFailed);
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
        ctx.pipeline().addBefore(ctx.name(), null, new ByteExactRequestEncoder());
        ctx.pipeline().addBefore(ctx.name(), null, new InboundGate());
        ctx.pipeline().addBefore(ctx.name(), null, decoder);
        ctx.fireChannelRegistered();
    }

    /**
     * Checks bytes before they are decoded, as the decoder passes on nothing for an incomplete
     * status line. Dropped bytes are released here, the others by the decoder.
     */
    private final class InboundGate extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (isInputUnexpected()) {
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
            if (isInputUnexpected()) {
                close();
            } else {
                reader.onMessage(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Whether input is unexpected: there is no attempt, or the connection has failed or is being
     * closed.
     */
    private boolean isInputUnexpected() {
        return attempt == null || unusable;
    }

    /** Enables or disables reading, for flow control of a relayed response. */
    void setReadEnabled(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** Reports that a large response to the attempt has begun. */
    void startStream(EndpointResponse response) {
        attempt.startStream(response);
    }

    /**
     * Ends the attempt when its response is complete, or enough of it is known; the connection
     * becomes idle, or is closed if it cannot be reused.
     *
     * @param reusable whether the response allows the connection to be reused
     * @param relayed the body of the response if it was relayed, else null
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
        // The connection is returned first: the notification may lead to a request that needs it.
        if (becomesIdle) {
            idleSinceMs = clock.nowMs();
            pool.addIdle(this);
        } else {
            channel.close();
        }
        ended.finish(outcome, response);
    }

    // ---- the end ----

    /**
     * Whether the idle connection is open and has received nothing; reads from its channel first.
     */
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

    /**
     * Ends the attempt of a closed connection; its outcome depends on whether the request's last
     * byte was written.
     */
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
     * Called after the last decoded message, which may be a response that ends with the connection.
     */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onConnectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // I/O errors such as a reset are expected and show in the attempt's outcome; others are
        // logged.
        if (!(cause instanceof java.io.IOException)) {
            log.error("Endpoint connection failed: cause", cause);
        }
        unusable = true;
        close();
    }
}
