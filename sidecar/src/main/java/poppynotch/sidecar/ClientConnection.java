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
 * <em>discarding</em> while it reads and drops the rest of a request that already has its response;
 * it is <em>closing</em> once no further request is read; and <em>lingering</em> once this side has
 * ended it and waits for the peer. Requests may be pipelined, so it can be receiving one while
 * others are in flight.
 *
 * <p>It runs on the sidecar's event loop. Decoded messages are released by the base class after
 * {@link #channelRead0}, which copies what is needed longer; the copies are heap buffers that need
 * no release.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements RequestTimer.Listener {

    /** Reading pauses while this many requests of one connection await their responses. */
    static final int MAX_PIPELINED_REQUESTS = 16;

    /**
     * How long, and up to how much, a connection that this side has ended reads and drops input:
     * closing a socket with unread bytes sends a reset, which could overtake the last response.
     */
    private static final int LINGER_TIMEOUT_MS = 500;

    private static final int MAX_LINGER_BYTES = 64 * 1024;

    /** How long an ending connection waits for a peer that does not read the written responses. */
    private static final int UNREAD_RESPONSE_TIMEOUT_MS = 10_000;

    /** Callbacks of a connection to its owner; called on the event loop. */
    interface Owner {
        /** A connection was opened or closed. */
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

    /** In the order of the requests, which HTTP requires for the responses. */
    private final Deque<ClientResponse> responses = new ArrayDeque<>();

    private final RequestTimer timer;

    /** The head of the request that is being received, or null. */
    private HttpRequest requestHead;

    /** The received part of its body, while the body is buffered; else null. */
    private ByteBuf pendingBody;

    /** Its body if that is relayed while it is received, else null. */
    private RelayedBody upload;

    /** The response to the request that is being received, if it exists already; else null. */
    private ClientResponse uploadResponse;

    /** The request already has its response: the rest of it is read and dropped. */
    private boolean discarding;

    /** The client expects a {@code 100 Continue}, which is written after earlier responses. */
    private boolean continueDue;

    /** No further request is read: the connection's last response is written or pending. */
    private boolean closing;

    /** A channel read is in progress, so {@link #isGone} must not start another. */
    private boolean reading;

    /** Bytes of a request that is not complete yet have arrived. */
    private boolean receivingRequest;

    /** This side has ended the connection; input that still arrives is dropped. */
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

    /** Whether bytes of a request that is not complete yet have arrived. */
    boolean isReceivingRequest() {
        return receivingRequest;
    }

    /** Records whether a channel read is in progress. */
    void setReading(boolean inProgress) {
        reading = inProgress;
    }

    /**
     * Whether received bytes are to be decoded; on a connection that this side has ended they are
     * not.
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

    // ---- lifecycle of the connection ----

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
     * Ends the connection: ends the output once all responses are sent, and closes the channel when
     * the peer closes too or a timeout expires. Does nothing if the connection is ending already.
     */
    void shutDown() {
        if (lingering || !channel.isActive()) {
            return;
        }
        lingering = true;
        closing = true;
        shared.connections().markLingering(this);
        closeAfter(UNREAD_RESPONSE_TIMEOUT_MS);
        // Completes after the responses that a slow reader has not received yet.
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

    private void closeAfter(int delayMs) {
        timer.restart(this::closeNow, delayMs);
    }

    /** Closes the connection without waiting for its peer. */
    void closeNow() {
        channel.close();
    }

    /**
     * Whether the client has closed the connection. The close may have arrived but not been read
     * yet, if the event loop was busy or the connection waited to be accepted, so this reads from
     * the channel unless the limit on pipelined requests is reached.
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
        // I/O errors of client connections are expected; only other exceptions are logged.
        if (cause instanceof java.io.IOException) {
            ctx.close();
        } else if (!closing) {
            shared.log().error("Client connection failed: cause", cause);
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
            // The request has its response already, or none has begun: no error response is due.
            discarding = false;
            shutDown();
            return;
        }
        shared.log()
                .warn(
                        "Client request timed out: target",
                        requestHead == null ? "no head received" : requestHead.uri());
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
        // Its first bytes may have arrived together with the end of the previous request.
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
            dispatchRelayedRequest();
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
        ByteBuf chunk = content.content();
        boolean last = content instanceof LastHttpContent;
        timer.onBodyBytes(chunk.readableBytes());
        if (content.decoderResult().isFailure()) {
            rejectAndStopReading(HttpResponseStatus.BAD_REQUEST, "malformed request");
        } else if (discarding) {
            onDiscarded(last);
        } else if (upload != null) {
            relayBody(chunk, last);
        } else {
            bufferBody(chunk, last);
        }
        updateAutoRead();
    }

    private void relayBody(ByteBuf chunk, boolean last) {
        upload.append(chunk);
        // The attempt may have failed during append(), which clears the upload.
        if (last && upload != null) {
            RelayedBody received = upload;
            receivingRequest = false;
            timer.stop();
            clearIncomingRequest();
            received.complete();
        }
    }

    private void bufferBody(ByteBuf chunk, boolean last) {
        shared.pendingBodies().reserve(chunk.readableBytes());
        pendingBody.writeBytes(chunk);
        if (last) {
            dispatchBufferedRequest();
        } else if (shared.pendingBodies().isExceeded()) {
            rejectIncomingRequest();
        } else if (pendingBody.readableBytes() > RelayedBody.MAX_BUFFERED_BYTES) {
            dispatchRelayedRequest();
        }
    }

    private void rejectIncomingRequest() {
        shared.log()
                .warn(
                        "Request rejected: cause",
                        "limit on incomplete bodies, pendingBytes="
                                + shared.pendingBodies().usedBytes());
        uploadResponse = new ClientResponse(this, HttpUtil.isKeepAlive(requestHead), false);
        responses.add(uploadResponse);
        shared.connections().markBusy(this);
        uploadResponse.onRejected(RequestDispatcher.OVERFLOW_COOL_DOWN_MS);
    }

    /** Dispatches a request whose body has been received completely. */
    private void dispatchBufferedRequest() {
        HttpRequest request = requestHead;
        ClientResponse response = addResponse(request);
        receivingRequest = false;
        timer.stop();
        byte[] body = ByteBufUtil.getBytes(pendingBody);
        clearIncomingRequest();
        scheduleDispatch(response, request, body, null);
    }

    /** Dispatches a large request, whose body is relayed while it is received. */
    private void dispatchRelayedRequest() {
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
     * Dispatches a request after the current channel read, which may show that the client has
     * disconnected since.
     */
    private void scheduleDispatch(
            ClientResponse response, HttpRequest request, byte[] body, RelayedBody relayedBody) {
        channel.eventLoop()
                .execute(
                        () -> {
                            if (channel.isActive() && !response.isReady()) {
                                shared.dispatcher().dispatch(response, request, body, relayedBody);
                            }
                        });
    }

    /** Responds with an error, as the last response, and reads no further request. */
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
     * If a request gets its response before all of it has been received, the rest is read and
     * dropped for a limited time.
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

    /** Writes the responses that are ready, up to the first one that is not. */
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
        // While further pipelined requests are in flight, the connection must stay open for their
        // responses.
        boolean endsHere =
                shared.owner().closesAfterResponse() && responses.size() == 1 && !discarding;
        boolean last = endsHere || !response.isKeepAlive();
        closing |= last;
        response.start(last);
    }

    /**
     * Handles the end of a response, whose last byte has been written.
     *
     * @param lastOnConnection whether the response announced the end of the connection
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

    /** Reads while input is needed and the responses to it can be queued and written. */
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
