package poppynotch.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.wire.ServerRecord;

/**
 * The HTTP interface of a control-plane replica for one connection, used by model servers,
 * operators and the {@code status} command. It serves pipelined requests one after the other, so
 * that responses go out in the order of the requests; {@link ControlApiRouter} handles each
 * request.
 *
 * <p>Each connection has an instance of its own, which runs on the connection's event loop. A
 * request that waits is retained, and released once it was served or the connection has closed.
 */
final class ControlApi extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final Logger LOG = LoggerFactory.getLogger(ControlApi.class);

    /** Requests that may wait on one connection; the connection is closed on one more. */
    private static final int MAX_WAITING_REQUESTS = 64;

    /** A response to one request. */
    record Response(HttpResponseStatus status, byte[] json) {
        static Response of(HttpResponseStatus status, String json) {
            return new Response(status, json.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** The operations behind the interface. Each calls its callback once. */
    interface Service {
        /** Submits an operator's change of the configuration. */
        void submitChange(ConfigChange change, Consumer<OperatorChangeResult> end);

        /** Reads the newest configuration. */
        void readConfig(Consumer<Response> end);

        /** Registers a server or renews its registration; false if that is not accepted. */
        void register(ServerRecord server, Consumer<Boolean> acknowledged);

        /** Removes a server that ends; false if that could not be replicated. */
        void deregister(String id, Consumer<Boolean> acknowledged);

        /** What the replica knows, as JSON. */
        String status();
    }

    private final ControlApiRouter router;

    /** Requests behind the one that is being served. */
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

    private boolean busy;

    ControlApi(Service service) {
        router = new ControlApiRouter(service);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (!busy) {
            serve(ctx, request);
        } else if (waiting.size() < MAX_WAITING_REQUESTS) {
            waiting.add(request.retain());
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
    }

    private void serve(ChannelHandlerContext ctx, FullHttpRequest request) {
        busy = true;
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        router.route(request, response -> send(ctx, response, keepAlive));
    }

    private void serveNext(ChannelHandlerContext ctx) {
        busy = false;
        FullHttpRequest next = waiting.poll();
        if (next != null) {
            try {
                serve(ctx, next);
            } finally {
                next.release();
            }
        }
    }

    private void send(ChannelHandlerContext ctx, Response response, boolean keepAlive) {
        FullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        response.status(),
                        Unpooled.wrappedBuffer(response.json()));
        message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(message, response.json().length);
        HttpUtil.setKeepAlive(message, keepAlive);
        ChannelFuture written = ctx.writeAndFlush(message);
        if (keepAlive) {
            serveNext(ctx);
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.warn(
                    "Control connection closed after a failure: remote={}",
                    ctx.channel().remoteAddress(),
                    cause);
        }
        ctx.close();
    }
}
