package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The handler of one connection of a client: it assembles requests, hands each to the {@link
 * RequestDispatcher}, and writes the responses in the order of the requests.
 *
 * <p>A connection is <em>idle</em> while it has neither a request nor a response;
 * <em>receiving</em> from the first byte of a request to its last one ({@code receivingRequest});
 * its requests are <em>in flight</em> until their {@code responses} are written; it is
 * <em>discarding</em> while the rest of a request arrives that has had its response already; it is
 * <em>closing</em> once no further request is read; and <em>lingering</em> once this side has ended
 * it and waits for the peer. A peer may send requests ahead, so that it can be receiving with
 * others in flight.
 *
 * <p>It runs on the sidecar's event loop. What the decoder passes on is released by the base class
 * after {@link #channelRead0}, which copies what is needed longer; the copies are heap buffers that
 * need no release.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements RequestTimer.Listener {

    /** Reading pauses while so many requests of one connection wait for their responses. */
    static final int MAX_PIPELINED_REQUESTS = 16;

    /**
     * A connection that this side ends stays open to what the peer still sends for so long and so
     * much, and drops it: a close over unread bytes is a reset, which could overtake the last
     * response.
     */
    private static final int LINGER_TIMEOUT_MS = 500;

    private static final int MAX_LINGER_BYTES = 64 * 1024;

    /** For so long it waits for a peer that does not read the responses that are written. */
    private static final int UNREAD_RESPONSE_TIMEOUT_MS = 10_000;

    /** What happens to connections, for their owner; called on the event loop. */
    interface Owner {
        /** A connection was opened or has ended. */
        void onConnectionCountChanged();

        /** Whether each response is now the last on its connection. */
        boolean closesAfterResponse();
    }

    /** What all connections of one listener share. */
    record Shared(
            MonotonicClock clock,
            RateLimitedLog log,
            Exchange exchange,
            RequestDispatcher dispatcher,
            ClientConnections connections,
            PendingBodyBudget pendingBodies,
            Owner owner) {}

    private final SocketChannel channel;
    private final Shared shared;

    /** In the order of the requests, which is the order that HTTP asks responses to be in. */
    private final Deque<ClientResponse> responses = new ArrayDeque<>();

    private final RequestTimer timer;

    /** The head of the request that is being received, or null. */
    private HttpRequest requestHead;

    /** What has been received of its body, while that is buffered; else null. */
    private ByteBuf pendingBody;

    /** Its body where that is relayed as it comes, else null. */
    private RelayedBody upload;

    /** The response to the request that is being received, where there is one already. */
    private ClientResponse uploadResponse;

    /** The request has had its response: the rest of it is of no use. */
    private boolean discarding;

    /** The client waits for a {@code 100 Continue}, which it gets when its turn has come. */
    private boolean continueDue;

    /** No further request is read: a response was the last, or will be. */
    private boolean closing;

    /** Bytes are being read just now, in the caller's own call. */
    private boolean reading;

    /** Bytes of a request have arrived that is not complete yet. */
    private boolean receivingRequest;

    /** This side has ended the connection; what has arrived since then was dropped. */
    private boolean lingering;

    private int droppedBytes;

    ClientConnection(SocketChannel channel, Shared shared) {
        this.channel = channel;
        this.shared = shared;
        timer = new RequestTimer(channel.eventLoop(), this);
    }

    SocketChannel channel() {
        return channel;
    }

    /** Whether bytes of a request have arrived that is not complete yet. */
    boolean isReceivingRequest() {
        return receivingRequest;
    }

    /** Bytes are being read just now, or no longer. */
    void setReading(boolean now) {
        reading = now;
    }

    /**
     * Whether bytes that have arrived are to be decoded: on a connection that this side has ended
     * they are not.
     */
    boolean acceptsBytes(ByteBuf bytes) {
        if (lingering || (closing && requestHead == null && !discarding)) {
            droppedBytes += bytes.readableBytes();
            if (droppedBytes > MAX_LINGER_BYTES) {
                channel.close();
            }
            return false;
        }
        receivingRequest = !closing;
        startRequestTimer();
        return true;
    }

    // ---- the connection begins and ends ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        shared.connections().add(this);
        shared.owner().onConnectionCountChanged();
        shared.connections().markIdle(this);
        startRequestTimer();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        shared.connections().remove(this);
        timer.stop();
        clearIncomingRequest();
        shared.owner().onConnectionCountChanged();
        for (ClientResponse response : List.copyOf(responses)) {
            if (response.requestId() != null && !response.isFinished()) {
                shared.exchange().onClientGone(response.requestId());
            }
        }
        responses.clear();
    }

    /**
     * Ends the connection once all that was written has gone out, and the peer has ended it too.
     * Does nothing if it is ending already.
     */
    void shutDown() {
        if (lingering || !channel.isActive()) {
            return;
        }
        lingering = true;
        closing = true;
        shared.connections().markLingering(this);
        closeAfter(UNREAD_RESPONSE_TIMEOUT_MS);
        // Behind the responses that a slow reader has not taken yet.
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        sent -> {
                            if (sent.isSuccess()) {
                                closeAfter(LINGER_TIMEOUT_MS);
                                channel.shutdownOutput();
                            }
                        });
        updateAutoRead();
    }

    private void closeAfter(int ms) {
        timer.restart(this::closeNow, ms);
    }

    /** Closes the connection without waiting for its peer. */
    void closeNow() {
        channel.close();
    }

    /**
     * Whether the client has ended the connection. Its end may have arrived and not been read yet,
     * where this sidecar was busy, or the connection waited to be accepted: so this reads, unless
     * more requests wait already than may be read ahead.
     */
    boolean isGone() {
        boolean mayRead = !reading && responses.size() < MAX_PIPELINED_REQUESTS;
        if (mayRead && channel.isActive()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
        return !channel.isActive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // Clients come and go; only what is not the network's doing is worth a line.
        if (cause instanceof java.io.IOException) {
            ctx.close();
        } else if (!closing) {
            shared.log().error("connection of a client", cause);
            rejectAndStopReading(HttpResponseStatus.BAD_REQUEST, "malformed request");
        }
    }

    // ---- time limits of a request ----

    private void startRequestTimer() {
        if (!timer.isRunning() && requestHead == null && !closing) {
            timer.startRequest();
        }
    }

    @Override
    public boolean isReceivingBody() {
        return requestHead != null;
    }

    @Override
    public boolean isReadEnabled() {
        return channel.config().isAutoRead();
    }

    @Override
    public void onRequestTooSlow() {
        if (discarding || !receivingRequest) {
            // It has had its response, or has asked for nothing: there is nothing to say.
            discarding = false;
            shutDown();
            return;
        }
        shared.log()
                .warn(
                        "a peer sent no whole request in time",
                        requestHead == null ? "no head" : requestHead.uri());
        rejectAndStopReading(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
    }

    // ---- requests ----

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpRequest request && !closing) {
            onRequestHead(request);
        }
        if (message instanceof HttpContent content && (discarding || requestHead != null)) {
            onContent(content);
        }
    }

    private void onRequestHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            rejectAndStopReading(HttpResponseStatus.BAD_REQUEST, "malformed request");
            return;
        }
        // Its first bytes may have come with the last ones of the request before.
        receivingRequest = true;
        startRequestTimer();
        if (HttpUtil.getContentLength(request, 0L) > RelayedBody.MAX_LENGTH_BYTES) {
            rejectAndStopReading(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
            return;
        }
        requestHead = request;
        pendingBody = Unpooled.buffer(0);
        continueDue = HttpUtil.is100ContinueExpected(request);
        if (HttpUtil.getContentLength(request, 0L) > RelayedBody.MAX_BUFFERED_BYTES) {
            scheduleRelayed();
        }
        writeContinueIfDue();
    }

    private void writeContinueIfDue() {
        if (continueDue
                && requestHead != null
                && (responses.isEmpty() || responses.peek() == uploadResponse)) {
            continueDue = false;
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(HttpContent content) {
        ByteBuf data = content.content();
        boolean last = content instanceof LastHttpContent;
        timer.onBodyBytes(data.readableBytes());
        if (content.decoderResult().isFailure()) {
            rejectAndStopReading(HttpResponseStatus.BAD_REQUEST, "malformed request");
        } else if (discarding) {
            onDiscarded(last);
        } else if (upload != null) {
            relay(data, last);
        } else {
            buffer(data, last);
        }
        updateAutoRead();
    }

    private void relay(ByteBuf data, boolean last) {
        upload.append(data);
        // What is passed on may have failed at once, and the rest be of no use.
        if (last && upload != null) {
            RelayedBody received = upload;
            receivingRequest = false;
            timer.stop();
            clearIncomingRequest();
            received.complete();
        }
    }

    private void buffer(ByteBuf data, boolean last) {
        shared.pendingBodies().reserve(data.readableBytes());
        pendingBody.writeBytes(data);
        if (last) {
            scheduleComplete();
        } else if (shared.pendingBodies().isExceeded()) {
            rejectIncomingRequest();
        } else if (pendingBody.readableBytes() > RelayedBody.MAX_BUFFERED_BYTES) {
            scheduleRelayed();
        }
    }

    private void rejectIncomingRequest() {
        shared.log()
                .warn(
                        "a request is refused",
                        "those still to come hold "
                                + shared.pendingBodies().usedBytes()
                                + " bytes");
        uploadResponse = new ClientResponse(this, HttpUtil.isKeepAlive(requestHead), false);
        responses.add(uploadResponse);
        shared.connections().markBusy(this);
        uploadResponse.onRejected(RequestDispatcher.OVERFLOW_COOL_DOWN_MS);
    }

    /** The request is complete, with all of its body. */
    private void scheduleComplete() {
        HttpRequest request = requestHead;
        ClientResponse response = addResponse(request);
        receivingRequest = false;
        timer.stop();
        byte[] body = ByteBufUtil.getBytes(pendingBody);
        clearIncomingRequest();
        scheduleDispatch(response, request, body, null);
    }

    /** The request is large: what has been received of it goes on, the rest as it comes. */
    private void scheduleRelayed() {
        HttpRequest request = requestHead;
        ClientResponse response = addResponse(request);
        receivingRequest = true;
        ByteBuf first = pendingBody;
        releasePendingBody();
        RelayedBody body = new RelayedBody(shared.clock(), wanted -> updateAutoRead(), first);
        upload = body;
        uploadResponse = response;
        scheduleDispatch(response, request, null, body);
    }

    private ClientResponse addResponse(HttpRequest request) {
        ClientResponse response =
                new ClientResponse(
                        this,
                        HttpUtil.isKeepAlive(request),
                        request.protocolVersion().equals(HttpVersion.HTTP_1_0));
        responses.add(response);
        shared.connections().markBusy(this);
        closing = !response.isKeepAlive();
        return response;
    }

    /**
     * Dispatches a request once the bytes at hand are read, so that it can be seen whether its
     * client has gone since then.
     */
    private void scheduleDispatch(
            ClientResponse response, HttpRequest request, byte[] body, RelayedBody large) {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (channel.isActive() && !response.isReady()) {
                                shared.dispatcher().dispatch(response, request, body, large);
                            }
                        });
    }

    /** Nothing on this connection can be understood any more; this is the last response. */
    private void rejectAndStopReading(HttpResponseStatus status, String reason) {
        timer.stop();
        closing = true;
        discarding = false;
        ClientResponse response = uploadResponse;
        if (response == null) {
            response = new ClientResponse(this, false, false);
            responses.add(response);
            shared.connections().markBusy(this);
        } else if (response.requestId() != null) {
            shared.exchange().onClientGone(response.requestId());
        }
        clearIncomingRequest();
        if (!response.isReady()) {
            response.respondPlain(status, reason, false);
        }
    }

    private void clearIncomingRequest() {
        releasePendingBody();
        requestHead = null;
        upload = null;
        uploadResponse = null;
    }

    private void releasePendingBody() {
        if (pendingBody != null) {
            shared.pendingBodies().release(pendingBody.readableBytes());
            pendingBody = null;
        }
    }

    /**
     * If a request has its response before all of it has been received, the rest is read for a
     * while, and dropped.
     */
    private void discardRemainingBody(ClientResponse answered) {
        if (uploadResponse == answered) {
            clearIncomingRequest();
            discarding = true;
            timer.startDiscarding();
        }
    }

    private void onDiscarded(boolean last) {
        if (last) {
            discarding = false;
            receivingRequest = false;
            timer.stop();
            if (closing) {
                shutDown();
            }
        }
    }

    // ---- responses ----

    /** Writes the responses that are ready, as far as none before them is missing. */
    void writeReadyResponses() {
        while (!responses.isEmpty() && responses.peek().isReady()) {
            ClientResponse response = responses.peek();
            if (!response.isStarted()) {
                start(response);
            }
            if (!response.isFinished()) {
                break;
            }
            responses.remove(response);
        }
        if (responses.isEmpty() && shared.connections().contains(this) && !closing) {
            shared.connections().markIdle(this);
        }
        writeContinueIfDue();
        updateAutoRead();
    }

    private void start(ClientResponse response) {
        discardRemainingBody(response);
        // Requests that were sent ahead on the connection are in flight too, and get their
        // responses first.
        boolean endsHere =
                shared.owner().closesAfterResponse() && responses.size() == 1 && !discarding;
        boolean last = endsHere || !response.isKeepAlive();
        closing |= last;
        response.start(last);
    }

    /**
     * The last byte of a response is handed to the network.
     *
     * @param lastOnConnection whether the response said that the connection ends with it
     */
    void onResponseFinished(boolean lastOnConnection) {
        boolean ends =
                lastOnConnection || (shared.owner().closesAfterResponse() && responses.size() == 1);
        if (ends && !discarding) {
            shutDown();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        ClientResponse first = responses.peek();
        if (first != null) {
            first.onWritabilityChanged(channel.isWritable());
        }
        updateAutoRead();
    }

    /** Reads on while there is a use for more, and room for the responses. */
    private void updateAutoRead() {
        channel.config()
                .setAutoRead(
                        lingering
                                || discarding
                                || (responses.size() < MAX_PIPELINED_REQUESTS
                                        && channel.isWritable()
                                        && (upload == null || upload.hasDemand())));
    }
}
