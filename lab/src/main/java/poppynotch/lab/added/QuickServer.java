package poppynotch.lab.added;

import io.netty.bootstrap.ServerBootstrap;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Test server that answers each call with the call's id: at once, or when the next server has
 * answered. It listens at any number of addresses; requests in any other form are rejected.
 *
 * <p>Runs on one event loop. {@link #close} closes its listeners and connections, from any thread.
 */
final class QuickServer {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int HOSTS_PER_NETWORK = 250;
    private static final int BACKLOG = 1024;

    /** The deadline of calls that have none. */
    private static final long DEFAULT_DEADLINE_MS = 1000;

    private final EventLoop loop;

    /** Where calls are forwarded, or null where they are answered here. */
    private final OpenLoop.Line next;

    private final List<Channel> open = new CopyOnWriteArrayList<>();

    /**
     * A server that does not listen yet.
     *
     * @param next where calls are forwarded, or null; it is called on the loop, and answers there
     */
    QuickServer(EventLoop loop, OpenLoop.Line next) {
        this.loop = loop;
        this.next = next;
    }

    /**
     * Listens at so many IP addresses, with a free port each.
     *
     * @param group from 1 to 100, another one for each kind of servers
     */
    List<InetSocketAddress> listen(int group, int count) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        open.add(channel);
                                        channel.closeFuture()
                                                .addListener(closed -> open.remove(channel));
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                                        new RequestHandler());
                                    }
                                });
        return IntStream.range(0, count)
                .mapToObj(
                        number -> {
                            Channel listener =
                                    bootstrap
                                            .bind(address(group, number))
                                            .syncUninterruptibly()
                                            .channel();
                            open.add(listener);
                            return (InetSocketAddress) listener.localAddress();
                        })
                .toList();
    }

    private static InetSocketAddress address(int group, int number) {
        byte[] ip = {
            127,
            (byte) (20 + group),
            (byte) (number / HOSTS_PER_NETWORK),
            (byte) (1 + number % HOSTS_PER_NETWORK)
        };
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), 0);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    /** Closes its listeners and connections. */
    void close() {
        open.forEach(Channel::close);
    }

    /** Answers or forwards the requests on one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            if (id == null
                    || !request.uri().equals("/api")
                    || request.decoderResult().isFailure()) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, "");
            } else if (next == null) {
                answer(ctx, HttpResponseStatus.OK, id);
            } else {
                CallMix.Call forwarded =
                        new CallMix.Call(id, request.headers().get("Idempotency-Key")).onward();
                next.send(
                        forwarded,
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs(request)),
                        (outcome, now) ->
                                answer(
                                        ctx,
                                        outcome == HttpPool.Outcome.SERVED
                                                ? HttpResponseStatus.OK
                                                : HttpResponseStatus.INTERNAL_SERVER_ERROR,
                                        outcome == HttpPool.Outcome.SERVED ? id : ""));
            }
        }

        private long deadlineMs(FullHttpRequest request) {
            return request.headers().getInt("X-Deadline-Ms", (int) DEFAULT_DEADLINE_MS);
        }

        private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            status,
                            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
