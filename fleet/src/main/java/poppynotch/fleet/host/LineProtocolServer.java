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
 * A door for operators of processes that are no sidecars: one line to a connection, one line back
 * that begins with {@code done} or {@code error}, as at a sidecar's door.
 */
public final class LineProtocolServer {

    private static final int MAX_LINE_LENGTH = 512;

    /** Who says nothing whole for so long is sent away, and so is whose answer does not come. */
    private static final int CONNECTION_TIMEOUT_MS = 3000;

    private final Channel listener;

    /**
     * Listens.
     *
     * @param answers what a line is answered, in the end
     * @throws IOException if it cannot listen there
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
                                    protected void initChannel(SocketChannel accepted) {
                                        accepted.pipeline()
                                                .addLast(
                                                        new LineBasedFrameDecoder(MAX_LINE_LENGTH),
                                                        new RequestHandler(answers));
                                        loop.schedule(
                                                () -> accepted.close(),
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

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Listens no more. */
    public void close() {
        listener.close();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Function<String, CompletionStage<String>> answers;
        private boolean asked;

        RequestHandler(Function<String, CompletionStage<String>> answers) {
            this.answers = answers;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (!asked) {
                asked = true;
                answers.apply(line.toString(StandardCharsets.UTF_8).trim())
                        .whenComplete(
                                (answer, failure) ->
                                        ctx.writeAndFlush(
                                                        ByteBufUtil.writeUtf8(
                                                                ctx.alloc(),
                                                                (failure == null
                                                                                ? answer
                                                                                : "error "
                                                                                        + failure
                                                                                                .getMessage())
                                                                        + "\n"))
                                                .addListener(ChannelFutureListener.CLOSE));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
