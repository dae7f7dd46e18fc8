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
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A server that answers each call at once with the call's id, or when the server behind it has
 * answered. It listens on as many addresses as are wanted, all on one event loop. Calls in any
 * other form are counted.
 */
final class QuickServer {

    private static final int MOST_BODY = 64 * 1024;
    private static final int HOSTS = 250;
    private static final int BACKLOG = 1024;

    /** A call without a deadline is given this. */
    private static final long PATIENCE_MS = 1000;

    private final EventLoop loop;

    /** Where calls go on to, or null where they end here. */
    private final OpenLoop.Line behind;

    private final List<Channel> open = new CopyOnWriteArrayList<>();

    /** None listens yet; {@code behind} is called on the loop, and must answer there. */
    QuickServer(EventLoop loop, OpenLoop.Line behind) {
        this.loop = loop;
        this.behind = behind;
    }

    /**
     * Listens at addresses of their own, ports free; {@code group} from 1 to 100 keeps kinds apart.
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
                                    protected void initChannel(SocketChannel fresh) {
                                        open.add(fresh);
                                        fresh.closeFuture()
                                                .addListener(closed -> open.remove(fresh));
                                        fresh.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MOST_BODY),
                                                        new Calls());
                                    }
                                });
        return java.util.stream.IntStream.range(0, count)
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
            127, (byte) (20 + group), (byte) (number / HOSTS), (byte) (1 + number % HOSTS)
        };
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), 0);
        } catch (java.net.UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    /** Closes its listeners and connections. */
    void close() {
        open.forEach(Channel::close);
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            if (id == null
                    || !request.uri().equals("/api")
                    || request.decoderResult().isFailure()) {
                answer(ctx, HttpResponseStatus.BAD_REQUEST, "");
            } else if (behind == null) {
                answer(ctx, HttpResponseStatus.OK, id);
            } else {
                CallMix.Call onward =
                        new CallMix.Call(id, request.headers().get("Idempotency-Key")).onward();
                behind.send(
                        onward,
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patience(request)),
                        (end, now) ->
                                answer(
                                        ctx,
                                        end == HttpPool.Outcome.SERVED
                                                ? HttpResponseStatus.OK
                                                : HttpResponseStatus.INTERNAL_SERVER_ERROR,
                                        end == HttpPool.Outcome.SERVED ? id : ""));
            }
        }

        private long patience(FullHttpRequest request) {
            return request.headers().getInt("X-Deadline-Ms", (int) PATIENCE_MS);
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
