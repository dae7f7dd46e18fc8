package poppynotch.lab.socket;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.SimulatedDay;
import poppynotch.lab.world.WorldListener.End;

/**
 * HTTP server of one simulated model server: it accepts requests on a socket, and the {@link
 * ModelServer} decides how and when each one is answered.
 *
 * <p>All of it runs on the event loop of the day. {@link SocketWorld} opens it and closes it, as
 * the model server starts and ends.
 */
final class ModelServerSocket {

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final SimulatedDay day;
    private final ModelServer modelServer;
    private final CallRegistry calls;
    private final InetSocketAddress address;
    private final ServerBootstrap bootstrap;
    private final Set<Channel> channels = new LinkedHashSet<>();
    private Channel listener;
    private boolean shouldBeOpen;

    ModelServerSocket(
            EventLoop loop,
            SimulatedDay day,
            ModelServer modelServer,
            CallRegistry calls,
            InetSocketAddress address) {
        this.day = day;
        this.modelServer = modelServer;
        this.calls = calls;
        this.address = address;
        long idleMs = (long) day.experiment().world().network().idleCloseMs();
        bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                                        new IdleStateHandler(
                                                                0,
                                                                0,
                                                                idleMs,
                                                                TimeUnit.MILLISECONDS),
                                                        new Connection());
                                    }
                                });
    }

    InetSocketAddress address() {
        return address;
    }

    /** Starts to listen; where {@link #close} comes first, the port is closed again. */
    void open() {
        shouldBeOpen = true;
        bootstrap
                .bind(address)
                .addListener(
                        (ChannelFuture bound) -> {
                            if (!bound.isSuccess()) {
                                throw new IllegalStateException(
                                        "nodo " + modelServer.id + " cannot listen at " + address,
                                        bound.cause());
                            }
                            listener = bound.channel();
                            if (!shouldBeOpen) {
                                listener.close();
                            }
                        });
    }

    /** Ends as a process that is killed: connections are reset and new ones are refused. */
    void close() {
        shouldBeOpen = false;
        if (listener != null) {
            listener.close();
            listener = null;
        }
        for (Channel channel : List.copyOf(channels)) {
            reset(channel);
        }
    }

    private static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** One connection, with one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {

        /** The request in progress, or null. */
        private ModelServer.Job job;

        /** Counts requests and the end, so that what is late for an earlier one is dropped. */
        private int exchangeNumber;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channels.add(ctx.channel());
            if (!modelServer.adjustConnectionCount(1)) {
                ctx.close();
                return;
            }
            modelServer.onHandshake();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            channels.remove(ctx.channel());
            modelServer.adjustConnectionCount(-1);
            exchangeNumber++;
            if (job != null) {
                modelServer.cancel(job);
                job = null;
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (job == null) {
                ctx.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            Call call = id == null ? null : calls.get(id);
            int exchange = ++exchangeNumber;
            if (request.decoderResult().isFailure()
                    || call == null
                    || !calls.matches(call, request)) {
                calls.recordStray(id, modelServer);
                write(
                        ctx,
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                id == null
                                        ? HttpResponseStatus.NOT_FOUND
                                        : HttpResponseStatus.BAD_REQUEST));
                return;
            }
            if (day.isPartitioned(call.sidecarZone, modelServer.zone)) {
                // A partition drops the request: the connection stays open and silent.
                return;
            }
            double deadlineMs = deadlineMs(request);
            double delayMs =
                    call.sidecarZone == modelServer.zone
                            ? 0
                            : day.drawDelayMs(call.sidecarZone, modelServer.zone);
            if (delayMs == 0) {
                submit(ctx, call, exchange, deadlineMs);
            } else {
                day.time().schedule(delayMs, () -> submit(ctx, call, exchange, deadlineMs));
            }
        }

        private double deadlineMs(FullHttpRequest request) {
            try {
                return Double.parseDouble(request.headers().get("X-Deadline-Ms", "0"));
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void submit(ChannelHandlerContext ctx, Call call, int exchange, double deadlineMs) {
            if (exchange != exchangeNumber || !ctx.channel().isActive()) {
                return;
            }
            day.listener().onAttemptSent(day.now(), call, modelServer);
            // It may be completed as it is submitted.
            AtomicBoolean completed = new AtomicBoolean();
            ModelServer.Job submitted =
                    modelServer.submit(
                            call,
                            day.now() + deadlineMs,
                            day.knowsIncarnation(call.sidecar, modelServer),
                            end -> {
                                completed.set(true);
                                onEnd(ctx, exchange, end, call);
                            });
            job = completed.get() ? null : submitted;
        }

        private void onEnd(ChannelHandlerContext ctx, int exchange, End end, Call call) {
            job = null;
            String body = call.body;
            double delayMs =
                    call.sidecarZone == modelServer.zone
                            ? 0
                            : day.drawDelayMs(modelServer.zone, call.sidecarZone);
            if (delayMs == 0) {
                respond(ctx, exchange, end, body, call);
            } else {
                day.time().schedule(delayMs, () -> respond(ctx, exchange, end, body, call));
            }
        }

        private void respond(
                ChannelHandlerContext ctx, int exchange, End end, String body, Call call) {
            if (exchange != exchangeNumber
                    || !ctx.channel().isActive()
                    || day.isPartitioned(call.sidecarZone, modelServer.zone)) {
                return;
            }
            switch (end) {
                case SERVED ->
                        write(
                                ctx,
                                new DefaultFullHttpResponse(
                                        HttpVersion.HTTP_1_1,
                                        HttpResponseStatus.OK,
                                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)));
                case ERROR ->
                        write(
                                ctx,
                                new DefaultFullHttpResponse(
                                        HttpVersion.HTTP_1_1,
                                        HttpResponseStatus.INTERNAL_SERVER_ERROR));
                case TURNED_AWAY -> {
                    FullHttpResponse rejection =
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
                    rejection.headers().set("X-Not-Run", "1");
                    write(ctx, rejection);
                }
                case GARBLED -> {
                    ByteBuf garbled =
                            Unpooled.copiedBuffer(
                                    "HTTP/1.1 OK 200\r\nno colon here\r\n\r\n",
                                    StandardCharsets.US_ASCII);
                    ctx.pipeline().firstContext().writeAndFlush(garbled);
                }
                default -> reset(ctx.channel());
            }
        }

        private void write(ChannelHandlerContext ctx, FullHttpResponse response) {
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            double[] report = modelServer.currentLoadReport();
            if (report != null) {
                response.headers()
                        .set(
                                "X-Load",
                                String.format(
                                        Locale.ROOT, "util=%.3f,qps=%.1f", report[0], report[1]));
            }
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
