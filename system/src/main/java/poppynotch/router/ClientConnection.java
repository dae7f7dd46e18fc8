package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
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
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.ClientLimits;
import poppynotch.config.FleetConfig;
import poppynotch.config.Route;
import poppynotch.config.Tenant;

/** A client's connection: reads its requests, one after the other, and writes the answers. */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientAnswer {

    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    private static final String BEARER = "Bearer ";
    private static final double MS_PER_S = 1000;

    /** Messages of requests sent ahead that are kept before reading pauses. */
    private static final int MOST_AHEAD = 64;

    private final EdgeContext edge;
    private ChannelHandlerContext ctx;
    private HttpRequest reading;
    private ByteBuf body;
    private long startedMs;
    private long quietSinceMs;
    private RequestExchange exchange;

    /** A request is in hand: its answer is not complete. */
    private boolean busy;

    private boolean keepAlive = true;
    private boolean closing;
    private final Deque<Object> ahead = new ArrayDeque<>();

    ClientConnection(EdgeContext edge) {
        this.edge = edge;
        quietSinceMs = edge.now();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        edge.clients().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        edge.clients().remove(this);
        closing = true;
        if (exchange != null) {
            RequestExchange left = exchange;
            exchange = null;
            left.clientGone();
        }
        if (body != null) {
            body.release();
            body = null;
        }
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
    }

    /**
     * Closes a connection that has been idle, or a request that has been on its way, for too long.
     */
    void checkIdle(long now) {
        ClientLimits limits = limits();
        boolean idle = !busy && reading == null && now - quietSinceMs > limits.idleTimeoutMs();
        boolean slow =
                !busy
                        && reading != null
                        && now - startedMs > limits.headerTimeoutMs() + limits.idleTimeoutMs();
        if (idle || slow) {
            ctx.close();
        }
    }

    /** Closes the connection if no request is on it. */
    void closeIfIdle() {
        if (!busy && reading == null) {
            ctx.close();
        }
    }

    private ClientLimits limits() {
        FleetConfig config = edge.state().config();
        return config == null ? ClientLimits.DEFAULT : config.limits();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (busy) {
            ahead.add(message);
            if (ahead.size() > MOST_AHEAD) {
                ctx.channel().config().setAutoRead(false);
            }
        } else {
            take(message);
        }
    }

    private void take(Object message) {
        try {
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && reading != null) {
                more(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        startedMs = edge.now();
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
            refuse(tooLong ? LocalResponse.HEAD_TOO_LARGE : LocalResponse.UNREADABLE);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits().maxBodyBytes()) {
            refuse(LocalResponse.TOO_LARGE);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        reading = request;
        body = ctx.alloc().heapBuffer();
    }

    private void more(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(LocalResponse.UNREADABLE);
            return;
        }
        if (body.readableBytes() + content.content().readableBytes() > limits().maxBodyBytes()) {
            refuse(LocalResponse.TOO_LARGE);
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            HttpRequest head = reading;
            reading = null;
            ByteBuf whole = body;
            body = null;
            busy = true;
            dispatch(
                    new ClientRequest(head.method(), head.uri(), head.headers(), whole, startedMs));
        }
    }

    /** Ends the connection with an answer: what follows on it can't be read. */
    private void refuse(LocalResponse reply) {
        keepAlive = false;
        reading = null;
        busy = true;
        if (body != null) {
            body.release();
            body = null;
        }
        own(reply, 0);
    }

    private void dispatch(ClientRequest request) {
        FleetConfig config = edge.state().config();
        if (config == null || edge.takesNothingNew()) {
            reject(request, LocalResponse.FULL, LocalResponse.FULL.retryAfterMs());
            return;
        }
        Optional<Route> route = config.route(host(request.headers()), request.path());
        if (route.isEmpty()) {
            reject(request, LocalResponse.NO_ROUTE, 0);
            return;
        }
        Tenant tenant = null;
        if (!config.tenants().isEmpty() && !route.get().anonymous()) {
            tenant = key(request.headers()).flatMap(config::tenantOfKey).orElse(null);
            if (tenant == null) {
                reject(request, LocalResponse.NO_KEY, 0);
                return;
            }
        }
        long amount = tenant == null ? 0 : amount(request.headers(), tenant);
        long wait = tenant == null ? 0 : edge.state().quotas().take(edge.now(), tenant, amount);
        if (wait > 0) {
            if (LOG.isDebugEnabled()) {
                String why = edge.state().quotas().explain(tenant);
                LOG.debug("refuses {} tokens for {} ms, {}", amount, wait, why);
            }
            reject(request, LocalResponse.OVER_QUOTA, wait);
            return;
        }
        exchange =
                new RequestExchange(
                        edge,
                        request,
                        this,
                        route.get(),
                        tenant,
                        amount,
                        patience(request, route.get()));
        exchange.start();
    }

    private void reject(ClientRequest request, LocalResponse reply, long retryAfterMs) {
        request.body().release();
        own(reply, retryAfterMs);
    }

    private static String host(HttpHeaders headers) {
        String host = headers.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static Optional<String> key(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        return value.regionMatches(true, 0, BEARER, 0, BEARER.length())
                ? Optional.of(value.substring(BEARER.length()).trim())
                : Optional.empty();
    }

    private static long amount(HttpHeaders headers, Tenant tenant) {
        if (!tenant.countsTokens()) {
            return 1;
        }
        int[] tokens = Headers.tokenCount(headers);
        return tokens == null ? (long) tenant.plainTokens() : (long) tokens[0] + tokens[1];
    }

    private static long patience(ClientRequest request, Route route) {
        try {
            String value = request.headers().get(Headers.DEADLINE);
            return value == null ? route.timeoutMs() : Math.max(0, Long.parseLong(value.trim()));
        } catch (NumberFormatException e) {
            return route.timeoutMs();
        }
    }

    // ---- the answer ----

    @Override
    public void whole(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        write(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, content, headers, EmptyHttpHeaders.INSTANCE));
    }

    @Override
    public void own(LocalResponse reply, long retryAfterMs) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, reply.status(), Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        if (retryAfterMs > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S));
        }
        write(response);
    }

    private void write(FullHttpResponse response) {
        boolean close = closesAfterwards();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        complete(ctx.writeAndFlush(response), close);
    }

    private boolean closesAfterwards() {
        return !keepAlive || edge.isDraining();
    }

    private void complete(ChannelFuture written, boolean close) {
        exchange = null;
        if (close) {
            closing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        busy = false;
        quietSinceMs = edge.now();
        while (!busy && !closing && !ahead.isEmpty()) {
            take(ahead.poll());
        }
        if (ahead.isEmpty()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void begin(HttpResponseStatus status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(response, true);
        if (closesAfterwards()) {
            keepAlive = false;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ctx.write(response);
    }

    @Override
    public boolean part(ByteBuf data) {
        ctx.writeAndFlush(new DefaultHttpContent(data));
        return ctx.channel().isWritable();
    }

    @Override
    public void end() {
        complete(ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), closesAfterwards());
    }

    @Override
    public void breakOff() {
        exchange = null;
        closing = true;
        ctx.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null) {
            exchange.clientReads(context.channel().isWritable());
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
