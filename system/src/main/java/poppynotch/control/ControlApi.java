package poppynotch.control;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.ConfigReader;
import poppynotch.settings.HostPort;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** The HTTP interface of a core process, for servers, operators and the {@code status} command. */
final class ControlApi extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final Logger LOG = LoggerFactory.getLogger(ControlApi.class);
    private static final String CONFIG = "/poppynotch/config";
    private static final String INSTANCES = "/poppynotch/instances/";
    private static final String STATUS = "/poppynotch/status";
    private static final String EMPTY = "{}";

    /** Requests that may wait on one connection for the answers of those before them. */
    private static final int MOST_WAITING = 64;

    /** An answer to one call. */
    record Answer(HttpResponseStatus status, byte[] json) {
        static Answer of(HttpResponseStatus status, String json) {
            return new Answer(status, json.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** What the calls do. Each gives its answer once. */
    interface Service {
        void change(ConfigChange order, Consumer<OperatorChangeResult> end);

        void readConfig(Consumer<Answer> end);

        void register(ServerRecord server, Consumer<Boolean> acknowledged);

        void leave(String id, Consumer<Boolean> acknowledged);

        String status();
    }

    private final Service service;

    /** Requests behind the one that is being answered: answers go out in the order of requests. */
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

    private boolean busy;

    ControlApi(Service service) {
        this.service = service;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (!busy) {
            serve(ctx, request);
        } else if (waiting.size() < MOST_WAITING) {
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
        dispatch(request, answer -> send(ctx, answer, keepAlive));
    }

    private void goOn(ChannelHandlerContext ctx) {
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

    private void dispatch(FullHttpRequest request, Consumer<Answer> end) {
        if (request.decoderResult().isFailure()) {
            end.accept(problem(HttpResponseStatus.BAD_REQUEST, "not HTTP"));
            return;
        }
        String uri = request.uri();
        byte[] body = ByteBufUtil.getBytes(request.content());
        if (uri.equals(CONFIG)) {
            config(request, body, end);
        } else if (uri.startsWith(INSTANCES)) {
            instance(request.method(), uri.substring(INSTANCES.length()), body, end);
        } else if (uri.equals(STATUS)) {
            end.accept(Answer.of(HttpResponseStatus.OK, service.status()));
        } else {
            end.accept(problem(HttpResponseStatus.NOT_FOUND, "no such resource"));
        }
    }

    private void config(FullHttpRequest request, byte[] body, Consumer<Answer> end) {
        if (request.method().equals(HttpMethod.GET)) {
            service.readConfig(end);
        } else if (request.method().equals(HttpMethod.PUT)) {
            change(ConfigChange.Kind.WHOLE, request, body, end);
        } else if (request.method().equals(HttpMethod.PATCH)) {
            change(ConfigChange.Kind.PATCH, request, body, end);
        } else {
            end.accept(problem(HttpResponseStatus.METHOD_NOT_ALLOWED, "PUT, PATCH or GET"));
        }
    }

    private void change(
            ConfigChange.Kind kind, FullHttpRequest request, byte[] body, Consumer<Answer> end) {
        long buildsOn;
        try {
            String match = request.headers().get(HttpHeaderNames.IF_MATCH, "0");
            buildsOn = Long.parseLong(match.replace("\"", "").trim());
        } catch (NumberFormatException e) {
            end.accept(problem(HttpResponseStatus.BAD_REQUEST, "If-Match is no version"));
            return;
        }
        ConfigChange.Read read = ConfigChange.read(kind, buildsOn, body);
        if (read instanceof ConfigChange.Read.Bad bad) {
            LOG.info("a change on {} is refused: {}", buildsOn, bad.reason());
            end.accept(problem(HttpResponseStatus.BAD_REQUEST, bad.reason()));
            return;
        }
        service.change(
                ((ConfigChange.Read.Good) read).order(),
                result -> {
                    LOG.info("a change on {} ends: {}", buildsOn, result);
                    end.accept(answer(result));
                });
    }

    private static Answer answer(OperatorChangeResult result) {
        if (result instanceof OperatorChangeResult.Taken) {
            return Answer.of(HttpResponseStatus.OK, EMPTY);
        }
        if (result instanceof OperatorChangeResult.Conflict conflict) {
            return problem(
                    HttpResponseStatus.PRECONDITION_FAILED,
                    "version " + conflict.current() + " is current");
        }
        if (result instanceof OperatorChangeResult.Invalid invalid) {
            return problem(HttpResponseStatus.BAD_REQUEST, invalid.reason());
        }
        return problem(HttpResponseStatus.SERVICE_UNAVAILABLE, "no quorum answered in time");
    }

    private void instance(HttpMethod method, String id, byte[] body, Consumer<Answer> end) {
        Consumer<Boolean> acknowledged =
                done ->
                        end.accept(
                                done
                                        ? Answer.of(HttpResponseStatus.OK, EMPTY)
                                        : problem(
                                                HttpResponseStatus.SERVICE_UNAVAILABLE,
                                                "out of contact with the other core processes"));
        if (method.equals(HttpMethod.DELETE)) {
            service.leave(id, acknowledged);
            return;
        }
        if (!method.equals(HttpMethod.PUT)) {
            end.accept(problem(HttpResponseStatus.METHOD_NOT_ALLOWED, "PUT or DELETE"));
            return;
        }
        ServerRecord server;
        try {
            server = server(id, ConfigReader.parse(body));
        } catch (JsonException
                | IllegalStateException
                | ClassCastException
                | IllegalArgumentException
                | NullPointerException e) {
            end.accept(problem(HttpResponseStatus.BAD_REQUEST, "not a registration"));
            return;
        }
        service.register(server, acknowledged);
    }

    private static ServerRecord server(String id, JsonObject body) {
        boolean draining = body.getString("State", "ready").equals("draining");
        // An address that can't be used is refused here, not found out at every edge.
        HostPort.parse(body.getString("Address")).socketAddress();
        return new ServerRecord(
                id,
                body.getString("Backend"),
                body.getString("Address"),
                body.getString("Zone", ""),
                body.getInt("Slots", 1),
                draining ? ServerState.DRAINING : ServerState.READY,
                body.containsKey("Sequence") ? body.getJsonNumber("Sequence").longValue() : 0);
    }

    private static Answer problem(HttpResponseStatus status, String reason) {
        return new Answer(status, ConfigReader.problem(reason).getBytes(StandardCharsets.UTF_8));
    }

    private void send(ChannelHandlerContext ctx, Answer answer, boolean keepAlive) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        answer.status(),
                        Unpooled.wrappedBuffer(answer.json()));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(response, answer.json().length);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = ctx.writeAndFlush(response);
        if (keepAlive) {
            goOn(ctx);
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            LOG.warn("a control connection ends", cause);
        }
        ctx.close();
    }
}
