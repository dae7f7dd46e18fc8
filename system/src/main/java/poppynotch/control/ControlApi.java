package poppynotch.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
import poppynotch.rollout.RolloutRequest;
import poppynotch.transport.PipelinedHttpServerCodec;
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

    /** Reading from a connection pauses while this many of its requests wait. */
    static final int MAX_WAITING_REQUESTS = 64;

    /** A response to one request. */
    record Response(HttpResponseStatus status, byte[] json) {
        static Response of(HttpResponseStatus status, String json) {
            return new Response(status, json.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** The operations behind the interface. Each calls its callback once. */
    interface Service {
        /** Submits an operator's change of the configuration. */
        void submitChange(ConfigChange change, Consumer<OperatorChangeResult> callback);

        /** Reads the newest configuration. */
        void readConfig(Consumer<Response> callback);

        /** Submits an operator's request to roll out a new version of a service. */
        void submitRollout(RolloutRequest request, Consumer<OperatorChangeResult> callback);

        /** Reads the latest rollout of a service. */
        void readRollout(String backend, Consumer<RolloutReadResult> callback);

        /** Registers a server or renews its registration; yields false if it is not accepted. */
        void register(ServerRecord server, Consumer<Boolean> callback);

        /** Deregisters a server; yields false if the removal could not be replicated. */
        void deregister(String id, Consumer<Boolean> callback);

        /** The status of the replica, as JSON. */
        String status();
    }

    private final ControlApiRouter router;
    private final ApiCallLog callLog;

    /** Requests that are not being served yet. */
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

    /** Whether a request waits for its response. */
    private boolean busy;

    /** Whether {@link #serveWaiting} is running, further up the stack. */
    private boolean serving;

    /** Whether the last response was written: requests that still arrive are ignored. */
    private boolean closing;

    ControlApi(Service service, ApiCallLog callLog) {
        router = new ControlApiRouter(service);
        this.callLog = callLog;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (closing) {
            return;
        }
        waiting.add(request.retain());
        serveWaiting(ctx);
        if (waiting.size() >= MAX_WAITING_REQUESTS) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        dropWaiting();
    }

    private void dropWaiting() {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
    }

    /** Serves until a request waits for its response; a loop, to bound the depth of the stack. */
    private void serveWaiting(ChannelHandlerContext ctx) {
        if (serving) {
            return;
        }
        serving = true;
        while (!busy && !closing && !waiting.isEmpty()) {
            FullHttpRequest next = waiting.poll();
            try {
                serve(ctx, next);
            } finally {
                next.release();
            }
        }
        serving = false;
        if (waiting.isEmpty()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void serve(ChannelHandlerContext ctx, FullHttpRequest request) {
        busy = true;
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        String method = request.method().name();
        String path = request.uri();
        long arrivedMs = callLog.nowMs();
        router.route(
                request,
                response -> {
                    callLog.onAnswered(method, path, response.status().code(), arrivedMs);
                    send(ctx, response, keepAlive);
                });
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
            busy = false;
            serveWaiting(ctx);
        } else {
            closing = true;
            dropWaiting();
            PipelinedHttpServerCodec.closeAfter(written);
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
