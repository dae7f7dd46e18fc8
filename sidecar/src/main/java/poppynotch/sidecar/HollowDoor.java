package poppynotch.sidecar;

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
 * Where a hollow process is told what to do: one line to a connection, one line back that begins
 * with {@code done} or {@code error}. Unlike an operators' door it takes lines that name all
 * members, and waits for what takes its time with as many.
 */
final class HollowDoor {

    /** The names of some thousands of members. */
    private static final int LONGEST_LINE = 128 << 10;

    private static final int MOST_CALLERS = 16;

    /** Who says nothing whole for so long is sent away. */
    private static final int PATIENCE_MS = 3000;

    private final Function<String, CompletionStage<String>> answers;
    private final Channel listener;

    /** Touched on the loop alone. */
    private int callers;

    /**
     * Listens.
     *
     * @param answers what a line is answered, in the end; a failure is answered by its message
     * @throws IOException if it cannot listen there
     */
    HollowDoor(
            EventLoop loop,
            InetSocketAddress address,
            Function<String, CompletionStage<String>> answers)
            throws IOException {
        this.answers = answers;
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel accepted) {
                                        if (callers == MOST_CALLERS) {
                                            accepted.close();
                                            return;
                                        }
                                        callers++;
                                        accepted.closeFuture().addListener(closed -> callers--);
                                        accepted.pipeline()
                                                .addLast(
                                                        new LineBasedFrameDecoder(LONGEST_LINE),
                                                        new Caller());
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        listener = bound.channel();
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {

        private boolean asked;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.executor()
                    .schedule(
                            () -> {
                                if (!asked) {
                                    ctx.close();
                                }
                            },
                            PATIENCE_MS,
                            TimeUnit.MILLISECONDS);
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
                                                                                ? "done " + answer
                                                                                : "error "
                                                                                        + Hollow
                                                                                                .why(
                                                                                                        failure))
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
