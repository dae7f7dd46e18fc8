package poppynotch.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens listening TCP sockets. Stateless. */
public final class ServerSockets {

    /** How many connections may wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 1024;

    private ServerSockets() {}

    /**
     * Listens on an address until the event loop group is shut down, and prepares each accepted
     * connection. Blocks until the socket is bound; must not be called on an event loop.
     *
     * @param group the event loops of the listening socket and of its connections
     * @param prepare adds the handlers to a new connection's pipeline, on the connection's event
     *     loop
     * @throws InterruptedException if the calling thread is interrupted; the exception of a failed
     *     bind is thrown unchanged
     */
    public static void listen(
            EventLoopGroup group, InetSocketAddress address, Consumer<Channel> prepare)
            throws InterruptedException {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                prepare.accept(channel);
                            }
                        })
                .bind(address)
                .sync();
    }
}
