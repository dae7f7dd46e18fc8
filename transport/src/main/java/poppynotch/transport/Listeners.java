package poppynotch.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens sockets that listen. */
public final class Listeners {

    /** Connections that wait to be taken. */
    private static final int BACKLOG = 1024;

    private Listeners() {}

    /**
     * Listens at an address and prepares each connection that comes.
     *
     * @throws InterruptedException if the calling thread is interrupted; a failed bind is thrown as
     *     it is
     */
    public static void listen(EventLoopGroup group, InetSocketAddress at, Consumer<Channel> prepare)
            throws InterruptedException {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                prepare.accept(channel);
                            }
                        })
                .bind(at)
                .sync();
    }
}
