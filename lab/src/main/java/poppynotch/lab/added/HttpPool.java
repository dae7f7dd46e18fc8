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
 * Calls to one address over connections that are kept, one call at a time on each. When all are
 * busy a new one is opened, up to a bound; calls beyond it wait in turn. All of it happens on one
 * event loop.
 */
final class HttpPool {

    /** How a call ended. */
    enum Outcome {
        /** Answered with what it asked for. */
        SERVED,
        /** Sent away: trying again is harmless. */
        REFUSED,
        /** Anything else. */
        FAILED
    }

    /** Hears of a call's end, with the time of {@link System#nanoTime}. */
    interface CompletionListener {
        /** Called once for each call. */
        void onComplete(Outcome end, long nowNanos);
    }

    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 2000;

    /** A call on its way, with when its caller no longer waits. */
    private record Pending(CallMix.Call call, long deadlineNanos, CompletionListener ended) {}

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final Bootstrap bootstrap;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private final Set<Channel> open = new LinkedHashSet<>();

    /** Connections that are there or on their way up. */
    private int connections;

    HttpPool(EventLoop loop, InetSocketAddress address, int most) {
        this.loop = loop;
        this.address = address;
        this.maxConnections = most;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline()
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

    /** Sends a call; on the loop. */
    void send(CallMix.Call call, long deadlineNanos, CompletionListener ended) {
        Pending pending = new Pending(call, deadlineNanos, ended);
        Connection kept = idle.pollLast();
        while (kept != null && !kept.channel.isActive()) {
            kept = idle.pollLast();
        }
        if (kept != null) {
            kept.begin(pending);
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
                                connected.channel().pipeline().get(Connection.class).begin(first);
                            } else {
                                connections--;
                                first.ended().onComplete(Outcome.FAILED, System.nanoTime());
                                connectForWaiting();
                            }
                        });
    }

    private void connectForWaiting() {
        if (connections < maxConnections && !waiting.isEmpty()) {
            connect(waiting.pollFirst());
        }
    }

    /** Closes all connections; what is on its way or waits has failed. On the loop. */
    void reset() {
        List<Pending> left = List.copyOf(waiting);
        waiting.clear();
        left.forEach(pending -> pending.ended().onComplete(Outcome.FAILED, System.nanoTime()));
        List.copyOf(open).forEach(Channel::close);
    }

    /** One connection. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Channel channel;
        private Pending pending;

        /** Whether it has carried a call before this one. */
        private boolean reused;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            // Whoever dials hears that it is up before the pipeline does.
            channel = ctx.channel();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(channel);
        }

        void begin(Pending wanted) {
            pending = wanted;
            CallMix.Call call = wanted.call();
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
                            Math.max(1, (wanted.deadlineNanos() - System.nanoTime()) / 1_000_000));
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
                begin(waiting.pollFirst());
            }
            answered.ended().onComplete(end(answered.call(), response), now);
        }

        private Outcome end(CallMix.Call call, FullHttpResponse response) {
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
            Pending cut = pending;
            pending = null;
            if (cut != null && reused && System.nanoTime() < cut.deadlineNanos()) {
                // The close may have crossed the call: it is sent once more on a new connection.
                connect(cut);
            } else if (cut != null) {
                cut.ended().onComplete(Outcome.FAILED, System.nanoTime());
            }
            connectForWaiting();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
