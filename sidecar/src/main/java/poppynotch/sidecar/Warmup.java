package poppynotch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
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
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.RequestClass;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;
import poppynotch.transport.HeadText;

/**
 * Sends synthetic requests through a second set of the sidecar's parts, on addresses of its own, so
 * that the code is loaded and compiled before clients connect. It reaches no real endpoint, and
 * everything that it starts ends with it.
 *
 * <p>It is created by {@link Sidecar}, used once, and runs on the sidecar's event loop. Messages
 * that its handlers read are released by their base class; written ones are released by the
 * channel.
 */
final class Warmup {

    /**
     * After this many rounds the classes are loaded and the most used code is compiled. More rounds
     * would gain less than clients lose meanwhile, as a restarted sidecar may be the only one that
     * is up.
     */
    private static final int MAX_ROUNDS = 100;

    /** Limits the warm-up, as a busy machine must not keep a sidecar from starting. */
    private static final int MAX_DURATION_MS = 1500;

    private static final int BODY_BYTES = 128;

    private final EventLoop loop;
    private final SidecarConfig config;
    private final IntConsumer onDone;
    private EndpointPool endpointPool;
    private Frontend frontend;
    private Channel endpointListener;
    private Channel client;

    /** The number of requests that were answered. */
    private int rounds;

    private boolean ended;

    /** Creates a warm-up that reports its rounds to {@code onDone} at its end, even if it fails. */
    Warmup(EventLoop loop, SidecarConfig config, IntConsumer onDone) {
        this.loop = loop;
        this.config = config;
        this.onDone = onDone;
    }

    /** Starts the endpoint, then the second sidecar, then the client that sends requests. */
    void start() {
        loop.schedule(this::end, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel accepted) {
                                        accepted.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(
                                                                RelayedBody.MAX_BUFFERED_BYTES),
                                                        new EndpointHandler());
                                    }
                                })
                        .bind(ephemeralAddress());
        endpointListener = bound.channel();
        bound.addListener(
                result -> {
                    if (result.isSuccess() && !ended) {
                        startSidecar((InetSocketAddress) endpointListener.localAddress());
                    } else {
                        end();
                    }
                });
    }

    private InetSocketAddress ephemeralAddress() {
        return new InetSocketAddress(config.listenAddress().getAddress(), 0);
    }

    private void startSidecar(InetSocketAddress endpointAddress) {
        MonotonicClock clock = new MonotonicClock();
        RateLimitedLog nullLog =
                new RateLimitedLog(clock, new PrintStream(OutputStream.nullOutputStream()));
        SidecarConfig warmupConfig = configFor(endpointAddress);
        endpointPool =
                new EndpointPool(
                        loop,
                        clock,
                        nullLog,
                        MAX_DURATION_MS,
                        config.idleCloseMs(),
                        config.maxSockets());
        Exchange exchange =
                new Exchange(loop, clock, nullLog, endpointPool, () -> {}, warmupConfig);
        frontend =
                new Frontend(
                        loop,
                        clock,
                        nullLog,
                        exchange,
                        config.settings(),
                        config.maxSockets(),
                        Integer.MAX_VALUE);
        ChannelFuture bound = frontend.listen(warmupConfig.listenAddress());
        bound.addListener(
                result -> {
                    if (result.isSuccess() && !ended) {
                        startClient((InetSocketAddress) bound.channel().localAddress());
                    } else {
                        end();
                    }
                });
    }

    /** The sidecar's own configuration, with the warm-up's endpoint as the only one. */
    private SidecarConfig configFor(InetSocketAddress endpointAddress) {
        ServerList list =
                new ServerList(
                        0,
                        true,
                        List.of(
                                new ServerList.Entry(
                                        new Server(
                                                "warm-up",
                                                config.settings().ownZone(),
                                                0,
                                                0,
                                                0,
                                                ServerState.READY,
                                                1),
                                        endpointAddress)));
        return new SidecarConfig(
                ephemeralAddress(),
                null,
                endpointAddress,
                config.seed(),
                config.maxSockets(),
                config.memoryMb(),
                config.idleCloseMs(),
                config.names(),
                list,
                config.settings(),
                null,
                null,
                config.json());
    }

    private void startClient(InetSocketAddress sidecarAddress) {
        ChannelFuture connecting =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel created) {
                                        created.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(
                                                                RelayedBody.MAX_BUFFERED_BYTES),
                                                        new ClientHandler());
                                    }
                                })
                        .connect(sidecarAddress);
        client = connecting.channel();
        connecting.addListener(
                result -> {
                    if (result.isSuccess()) {
                        sendRequest();
                    } else {
                        end();
                    }
                });
    }

    private void sendRequest() {
        List<RequestClass> classes = config.settings().classes();
        RequestClass requestClass = classes.get(rounds % classes.size());
        boolean repeatable = requestClass.idempotency() == Idempotency.REPEATABLE;
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        repeatable ? HttpMethod.GET : HttpMethod.POST,
                        "/api",
                        repeatable
                                ? Unpooled.EMPTY_BUFFER
                                : Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        request.headers()
                .set(RequestHeaders.REQUEST_ID, "warm-up-" + rounds)
                .set(RequestHeaders.REQUEST_CLASS, HeadText.encode(requestClass.name()))
                .set(RequestHeaders.DEADLINE_MS, MAX_DURATION_MS)
                .set("Host", "warm-up")
                .set(RequestHeaders.IDEMPOTENCY_KEY, "0")
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        if (!config.settings().tenants().isEmpty()) {
            String tenant = config.settings().tenants().get(0).name();
            request.headers().set(RequestHeaders.TENANT, HeadText.encode(tenant));
        }
        client.writeAndFlush(request);
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        endpointListener.close();
        if (client != null) {
            client.close();
        }
        if (frontend != null) {
            frontend.close();
            endpointPool.close();
        }
        onDone.accept(rounds);
    }

    /** The endpoint: answers each request at once. */
    private static final class EndpointHandler
            extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            ctx.writeAndFlush(response);
        }
    }

    /** The client: sends the next request when the last one is answered. */
    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            rounds++;
            if (rounds < MAX_ROUNDS) {
                sendRequest();
            } else {
                end();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end();
        }
    }
}
