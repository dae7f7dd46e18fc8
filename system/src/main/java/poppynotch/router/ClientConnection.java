package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import poppynotch.config.ClientLimits;
import poppynotch.config.FleetConfig;
import poppynotch.transport.PipelinedHttpServerCodec;

/**
 * A client's HTTP/1.1 connection: reads requests one at a time and writes their responses in order.
 * Pipelined requests are queued until the preceding response is complete.
 *
 * <p>This is the last handler of the channel's pipeline; it is used on the edge's event loop only.
 * It releases the messages that it reads, including queued messages when the connection closes. The
 * body of a complete request is owned by its {@link RequestExchange}, or released here if the
 * request is rejected.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientResponseWriter {

    private static final double MS_PER_S = 1000;

    /** Reading pauses when more messages of pipelined requests than this are queued. */
    static final int MAX_PIPELINED_MESSAGES = 64;

    private final EdgeContext edge;
    private final RequestAdmission admission;
    private final ClientRequestAssembler assembler = new ClientRequestAssembler();
    private final Deque<Object> pipelinedMessages = new ArrayDeque<>();
    private ChannelHandlerContext ctx;

    /** The exchange of the current request; null if there is none or the edge itself responds. */
    private RequestExchange exchange;

    /** Whether a complete request was read and its response is not complete. */
    private boolean responding;

    /** Whether {@link #processPipelinedMessages} is on the call stack. */
    private boolean processingPipelined;

    /** Whether the client keeps the connection open after the current request. */
    private boolean keepAlive = true;

    /** Whether the connection is closed, or will be after the response that is being written. */
    private boolean closing;

    /** When the last response was completed, or when the connection was created. */
    private long idleSinceMs;

    ClientConnection(EdgeContext edge) {
        this.edge = edge;
        admission = new RequestAdmission(edge);
        idleSinceMs = edge.nowMs();
    }

    // ---- Connection ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        edge.clientConnections().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        edge.clientConnections().remove(this);
        closing = true;
        if (exchange != null) {
            RequestExchange abandoned = exchange;
            exchange = null;
            abandoned.onClientDisconnected();
        }
        assembler.discard();
        pipelinedMessages.forEach(ReferenceCountUtil::release);
        pipelinedMessages.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Closes the connection if its idle timeout, or the timeout for reading a request, is over. */
    void closeIfTimedOut(long nowMs) {
        if (responding) {
            return;
        }
        ClientLimits limits = limits();
        boolean timedOut =
                assembler.isReading()
                        ? nowMs - assembler.startedMs()
                                > limits.headerTimeoutMs() + limits.idleTimeoutMs()
                        : nowMs - idleSinceMs > limits.idleTimeoutMs();
        if (timedOut) {
            ctx.close();
        }
    }

    /** Closes the connection unless it is reading a request or writing a response. */
    void closeIfIdle() {
        if (!responding && !assembler.isReading()) {
            ctx.close();
        }
    }

    private ClientLimits limits() {
        FleetConfig config = edge.fleetState().config();
        return config == null ? ClientLimits.DEFAULT : config.limits();
    }

    // ---- Requests ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (responding) {
            pipelinedMessages.add(message);
            if (pipelinedMessages.size() > MAX_PIPELINED_MESSAGES) {
                ctx.channel().config().setAutoRead(false);
            }
        } else {
            process(message);
        }
    }

    /** Processes and releases a message. */
    private void process(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                onRequestHead(request);
            }
            if (message instanceof HttpContent content && assembler.isReading()) {
                onRequestContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onRequestHead(HttpRequest request) {
        long nowMs = edge.nowMs();
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
            rejectAndClose(tooLong ? LocalResponse.HEAD_TOO_LARGE : LocalResponse.MALFORMED);
            return;
        }
        long contentLength = HttpUtil.getContentLength(request, 0L);
        if (contentLength > limits().maxBodyBytes()) {
            rejectAndClose(LocalResponse.BODY_TOO_LARGE);
            return;
        }
        if (!edge.requestBodies().hasRoomFor(contentLength)) {
            rejectAndClose(LocalResponse.OUT_OF_BODY_MEMORY);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        assembler.start(request, edge.requestBodies().newBody(), nowMs);
    }

    private void onRequestContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectAndClose(LocalResponse.MALFORMED);
        } else if (assembler.sizeWith(content.content()) > limits().maxBodyBytes()) {
            rejectAndClose(LocalResponse.BODY_TOO_LARGE);
        } else if (!assembler.append(content.content(), edge.requestBodies())) {
            rejectAndClose(LocalResponse.OUT_OF_BODY_MEMORY);
        } else if (content instanceof LastHttpContent) {
            ClientRequest request = assembler.complete();
            responding = true;
            onRequest(request);
        }
    }

    /** Responds and closes the connection, as the bytes that follow can't be parsed. */
    private void rejectAndClose(LocalResponse response) {
        keepAlive = false;
        responding = true;
        assembler.discard();
        writeLocal(response, response.retryAfterMs());
    }

    private void onRequest(ClientRequest request) {
        RequestAdmission.Result result = admission.admit(request);
        if (result instanceof RequestAdmission.Admitted admitted) {
            exchange =
                    new RequestExchange(
                            edge,
                            request,
                            this,
                            admitted.route(),
                            admitted.quota(),
                            admitted.clientTimeoutMs());
            exchange.start();
        } else if (result instanceof RequestAdmission.Rejected rejected) {
            request.body().release();
            writeLocal(rejected.response(), rejected.retryAfterMs());
        }
    }

    // ---- Responses ----

    @Override
    public void writeComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        writeFull(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE));
    }

    @Override
    public void writeLocal(LocalResponse response, long retryAfterMs) {
        FullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, response.status(), Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(message, 0);
        if (retryAfterMs > 0) {
            message.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S));
        }
        writeFull(message);
    }

    private void writeFull(FullHttpResponse response) {
        boolean close = closesAfterResponse();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        onResponseWritten(ctx.writeAndFlush(response), close);
    }

    @Override
    public void writeHead(HttpResponseStatus status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(response, true);
        if (closesAfterResponse()) {
            // writeEnd must close the connection too, as this head announces it.
            keepAlive = false;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ctx.write(response);
    }

    @Override
    public boolean writeChunk(ByteBuf data) {
        ctx.writeAndFlush(new DefaultHttpContent(data));
        return ctx.channel().isWritable();
    }

    @Override
    public void writeEnd() {
        onResponseWritten(
                ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), closesAfterResponse());
    }

    @Override
    public void abort() {
        exchange = null;
        closing = true;
        ctx.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.onClientWritabilityChanged(context.channel().isWritable());
        }
        context.fireChannelWritabilityChanged();
    }

    private boolean closesAfterResponse() {
        return !keepAlive || edge.shutdown().isDraining();
    }

    /** Called once a response is written: closes the connection or processes the next request. */
    private void onResponseWritten(ChannelFuture written, boolean close) {
        exchange = null;
        if (close) {
            closing = true;
            PipelinedHttpServerCodec.closeAfter(written);
            return;
        }
        responding = false;
        idleSinceMs = edge.nowMs();
        if (!processingPipelined) {
            processPipelinedMessages();
        }
    }

    /**
     * Processes queued messages until a request awaits its response. This is a loop and not a
     * recursion, as many queued requests may be answered immediately.
     */
    private void processPipelinedMessages() {
        processingPipelined = true;
        try {
            while (!responding && !closing && !pipelinedMessages.isEmpty()) {
                process(pipelinedMessages.poll());
            }
        } finally {
            processingPipelined = false;
        }
        if (pipelinedMessages.isEmpty()) {
            ctx.channel().config().setAutoRead(true);
        }
    }
}
