package poppynotch.lab.added;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Pool of persistent HTTP connections to one address, with one call at a time on each. When all are
 * busy a new one is opened, up to a maximum; calls beyond that are queued.
 *
 * <p>All of it runs on one event loop, which the methods must be called on. {@link #reset} closes
 * the connections; calls that are pending then fail.
 */
final class HttpPool {

    /** How a call ended. */
    enum Outcome {
        /** Answered with what it asked for. */
        SERVED,
        /** Rejected: a retry is harmless. */
        REFUSED,
        /** Anything else. */
        FAILED
    }

    /** Is notified of the outcome of a call. */
    interface CompletionListener {
        /** Called once for each call, on the loop, with the time of {@link System#nanoTime}. */
        void onComplete(Outcome outcome, long nowNanos);
    }

    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 2000;

    /** A call that is queued or in flight; after its deadline it is not sent again. */
    private record Pending(CallMix.Call call, long deadlineNanos, CompletionListener listener) {}

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final Bootstrap bootstrap;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private final Set<Channel> open = new LinkedHashSet<>();

    /** Connections that are established or being established. */
    private int connections;

    HttpPool(EventLoop loop, InetSocketAddress address, int maxConnections) {
        this.loop = loop;
        this.address = address;
        this.maxConnections = maxConnections;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(
                                                                MAX_RESPONSE_BYTES),
                                                        new Connection());
                                    }
                                });
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Sends a call, or queues it while all connections are busy.
     *
     * @param deadlineNanos on the clock of {@link System#nanoTime}
     */
    void send(CallMix.Call call, long deadlineNanos, CompletionListener listener) {
        Pending pending = new Pending(call, deadlineNanos, listener);
        Connection reusable = idle.pollLast();
        while (reusable != null && !reusable.channel.isActive()) {
            reusable = idle.pollLast();
        }
        if (reusable != null) {
            reusable.send(pending);
        } else if (connections < maxConnections) {
            connect(pending);
        } else {
            waiting.addLast(pending);
        }
    }

    private void connect(Pending first) {
        connections++;
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                connected.channel().pipeline().get(Connection.class).send(first);
                            } else {
                                connections--;
                                first.listener().onComplete(Outcome.FAILED, System.nanoTime());
                                connectForWaiting();
                            }
                        });
    }

    private void connectForWaiting() {
        if (connections < maxConnections && !waiting.isEmpty()) {
            connect(waiting.pollFirst());
        }
    }

    /** Closes all connections; calls that are queued or in flight fail. */
    void reset() {
        List<Pending> queued = List.copyOf(waiting);
        waiting.clear();
        queued.forEach(pending -> pending.listener().onComplete(Outcome.FAILED, System.nanoTime()));
        List.copyOf(open).forEach(Channel::close);
    }

    /** One connection; null as {@code pending} means that it is idle. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Channel channel;
        private Pending pending;

        /** Whether it has carried a call before this one. */
        private boolean reused;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            // The listener of connect() is called before channelActive.
            channel = ctx.channel();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(channel);
        }

        void send(Pending next) {
            pending = next;
            CallMix.Call call = next.call();
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            call.key() == null ? HttpMethod.GET : HttpMethod.POST,
                            "/api",
                            Unpooled.copiedBuffer(call.body(), StandardCharsets.UTF_8));
            request.headers()
                    .set(HttpHeaderNames.HOST, "app.svc")
                    .set("X-Request-Id", call.id())
                    .set("X-Class", call.kind())
                    .set(
                            "X-Deadline-Ms",
                            Math.max(1, (next.deadlineNanos() - System.nanoTime()) / 1_000_000));
            if (call.key() != null) {
                request.headers()
                        .set("Idempotency-Key", call.key())
                        .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            }
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            long now = System.nanoTime();
            if (pending == null) {
                ctx.close();
                return;
            }
            Pending answered = pending;
            pending = null;
            reused = true;
            if (!HttpUtil.isKeepAlive(response) || response.decoderResult().isFailure()) {
                ctx.close();
            } else if (waiting.isEmpty()) {
                idle.addLast(this);
            } else {
                send(waiting.pollFirst());
            }
            answered.listener().onComplete(outcomeOf(answered.call(), response), now);
        }

        private Outcome outcomeOf(CallMix.Call call, FullHttpResponse response) {
            int status = response.status().code();
            if (status == 200
                    && response.decoderResult().isSuccess()
                    && response.content().toString(StandardCharsets.UTF_8).equals(call.id())) {
                return Outcome.SERVED;
            }
            return status == 429 || status == 503 ? Outcome.REFUSED : Outcome.FAILED;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections--;
            open.remove(ctx.channel());
            idle.remove(this);
            Pending interrupted = pending;
            pending = null;
            if (interrupted != null && reused && System.nanoTime() < interrupted.deadlineNanos()) {
                // The server may have closed the connection before it read the call, so that is
                // sent
                // once more on a new one.
                connect(interrupted);
            } else if (interrupted != null) {
                interrupted.listener().onComplete(Outcome.FAILED, System.nanoTime());
            }
            connectForWaiting();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
