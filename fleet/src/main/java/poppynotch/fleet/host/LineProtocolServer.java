package poppynotch.fleet.host;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Admin server of processes other than sidecars. A connection carries one request line and one
 * response line that begins with {@code done} or {@code error}, as at a sidecar's admin server.
 *
 * <p>Requests are handled on the event loop that is passed in. {@link #close} releases the
 * listening socket; connections are closed after their response or by a time-out.
 */
public final class LineProtocolServer {

    private static final int MAX_LINE_LENGTH = 512;

    /** A connection is closed after this time, whether or not its request is complete. */
    private static final int CONNECTION_TIMEOUT_MS = 3000;

    private final Channel listener;

    /**
     * Binds the server's socket. Blocks; not to be called on the event loop.
     *
     * @param answers maps a request line to its response, which may be completed asynchronously
     * @throws IOException if the address cannot be bound
     */
    public LineProtocolServer(
            EventLoop loop,
            InetSocketAddress address,
            Function<String, CompletionStage<String>> answers)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new LineBasedFrameDecoder(MAX_LINE_LENGTH),
                                                        new RequestHandler(answers));
                                        loop.schedule(
                                                () -> channel.close(),
                                                CONNECTION_TIMEOUT_MS,
                                                TimeUnit.MILLISECONDS);
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage());
        }
        listener = bound.channel();
    }

    /** The local address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Closes the listening socket. */
    public void close() {
        listener.close();
    }

    /** Answers the first line of one connection, and ignores further lines. */
    private static final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Function<String, CompletionStage<String>> answers;
        private boolean hasRequest;

        RequestHandler(Function<String, CompletionStage<String>> answers) {
            this.answers = answers;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (hasRequest) {
                return;
            }
            hasRequest = true;
            answers.apply(line.toString(StandardCharsets.UTF_8).trim())
                    .whenComplete(
                            (answer, failure) ->
                                    respond(
                                            ctx,
                                            failure == null
                                                    ? answer
                                                    : "error " + failure.getMessage()));
        }

        private static void respond(ChannelHandlerContext ctx, String response) {
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), response + "\n"))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
