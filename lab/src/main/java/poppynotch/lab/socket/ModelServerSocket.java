package poppynotch.lab.socket;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.SimulatedDay;
import poppynotch.lab.world.WorldListener.End;

/**
 * A nodo on a socket: it takes requests by the protocol, and the model decides what becomes of
 * them.
 */
final class ModelServerSocket {

    private static final int MOST_BODY = 64 * 1024;

    private final SimulatedDay scene;
    private final ModelServer nodo;
    private final Calls calls;
    private final InetSocketAddress address;
    private final ServerBootstrap bootstrap;
    private final Set<Channel> open = new LinkedHashSet<>();
    private Channel listener;
    private boolean wanted;

    ModelServerSocket(
            EventLoop loop,
            SimulatedDay scene,
            ModelServer nodo,
            Calls calls,
            InetSocketAddress address) {
        this.scene = scene;
        this.nodo = nodo;
        this.calls = calls;
        this.address = address;
        long idleMs = (long) scene.experiment().world().network().idleCloseMs();
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
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MOST_BODY),
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

    void open() {
        wanted = true;
        bootstrap
                .bind(address)
                .addListener(
                        (io.netty.channel.ChannelFuture bound) -> {
                            if (!bound.isSuccess()) {
                                throw new IllegalStateException(
                                        "nodo " + nodo.id + " cannot listen at " + address,
                                        bound.cause());
                            }
                            listener = bound.channel();
                            if (!wanted) {
                                listener.close();
                            }
                        });
    }

    /** The process dies: its connections are reset and new ones are refused. */
    void close() {
        wanted = false;
        if (listener != null) {
            listener.close();
            listener = null;
        }
        for (Channel channel : List.copyOf(open)) {
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

        private ModelServer.Job job;
        private int exchange;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(ctx.channel());
            if (!nodo.connect(1)) {
                ctx.close();
                return;
            }
            nodo.handshake();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(ctx.channel());
            nodo.connect(-1);
            exchange++;
            if (job != null) {
                nodo.cancel(job);
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
            int own = ++exchange;
            if (request.decoderResult().isFailure()
                    || call == null
                    || !calls.matches(call, request)) {
                calls.stray(id, nodo);
                answer(
                        ctx,
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                id == null
                                        ? HttpResponseStatus.NOT_FOUND
                                        : HttpResponseStatus.BAD_REQUEST));
                return;
            }
            if (scene.isCut(call.sidecarZone, nodo.zone)) {
                // Swallowed: the connection stays open and silent.
                return;
            }
            double waitMs = waitMs(request);
            double out =
                    call.sidecarZone == nodo.zone ? 0 : scene.delay(call.sidecarZone, nodo.zone);
            if (out == 0) {
                submit(ctx, call, own, waitMs);
            } else {
                scene.time().after(out, () -> submit(ctx, call, own, waitMs));
            }
        }

        private double waitMs(FullHttpRequest request) {
            try {
                return Double.parseDouble(request.headers().get("X-Deadline-Ms", "0"));
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void submit(ChannelHandlerContext ctx, Call call, int own, double waitMs) {
            if (own != exchange || !ctx.channel().isActive()) {
                return;
            }
            scene.facts().sent(scene.now(), call, nodo);
            ModelServer.Job[] made = new ModelServer.Job[1];
            boolean[] over = new boolean[1];
            made[0] =
                    nodo.submit(
                            call,
                            scene.now() + waitMs,
                            scene.informed(call.sidecar, nodo),
                            end -> {
                                over[0] = true;
                                job = null;
                                String body = call.body;
                                double back =
                                        call.sidecarZone == nodo.zone
                                                ? 0
                                                : scene.delay(nodo.zone, call.sidecarZone);
                                if (back == 0) {
                                    end(ctx, own, end, body, call);
                                } else {
                                    scene.time().after(back, () -> end(ctx, own, end, body, call));
                                }
                            });
            job = over[0] ? null : made[0];
        }

        private void end(ChannelHandlerContext ctx, int own, End end, String body, Call call) {
            if (own != exchange
                    || !ctx.channel().isActive()
                    || scene.isCut(call.sidecarZone, nodo.zone)) {
                return;
            }
            switch (end) {
                case SERVED ->
                        answer(
                                ctx,
                                new DefaultFullHttpResponse(
                                        HttpVersion.HTTP_1_1,
                                        HttpResponseStatus.OK,
                                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)));
                case ERROR ->
                        answer(
                                ctx,
                                new DefaultFullHttpResponse(
                                        HttpVersion.HTTP_1_1,
                                        HttpResponseStatus.INTERNAL_SERVER_ERROR));
                case TURNED_AWAY -> {
                    FullHttpResponse away =
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
                    away.headers().set("X-Not-Run", "1");
                    answer(ctx, away);
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

        private void answer(ChannelHandlerContext ctx, FullHttpResponse response) {
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            double[] report = nodo.report();
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
