package poppynotch.lab.socket;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Asks a sidecar once whether it is ready, on a connection of its own that it closes. Runs on one
 * event loop.
 */
final class ReadinessProbe extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private boolean ready;

    private ReadinessProbe() {}

    /**
     * Probes once.
     *
     * @param address of the sidecar
     * @param result is called on the loop, once the connection is closed, with whether it is ready
     */
    static void probe(EventLoop loop, InetSocketAddress address, Consumer<Boolean> result) {
        ReadinessProbe probe = new ReadinessProbe();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                                probe);
                            }
                        })
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                connected.channel().writeAndFlush(request(address));
                            }
                            connected
                                    .channel()
                                    .closeFuture()
                                    .addListener(closed -> result.accept(probe.ready));
                        });
    }

    private static FullHttpRequest request(InetSocketAddress address) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.GET,
                        "/health/ready",
                        Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, LoopbackAddresses.format(address));
        return request;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        ready = response.status().code() == HttpResponseStatus.OK.code();
        ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
