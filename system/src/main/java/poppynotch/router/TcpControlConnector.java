package poppynotch.router;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import poppynotch.settings.HostPort;
import poppynotch.wire.Message;
import poppynotch.wire.RecordChannel;

/**
 * Connects to control-plane replicas over TCP and exchanges messages as length-prefixed records.
 * Used on the edge's event loop only, with which all channels are registered.
 */
final class TcpControlConnector implements ControlConnector {

    private static final int CONNECT_TIMEOUT_MS = 400;

    /** A connection; equal to another one if both have the same channel. */
    private record TcpConnection(Channel channel) implements Connection {

        @Override
        public void send(Message message) {
            RecordChannel.send(channel, message);
        }

        @Override
        public void close() {
            channel.close();
        }
    }

    private final Bootstrap bootstrap;
    private final int peerPort;

    /**
     * Creates a connector without connections.
     *
     * @param peerPort the port on which replicas accept edges; replaces the port of their addresses
     */
    TcpControlConnector(EventLoop loop, int peerPort) {
        this.peerPort = peerPort;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    }

    @Override
    public void connect(String replica, ConnectionListener listener) {
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(new RecordChannelInitializer(listener))
                        .connect(HostPort.parse(replica).withPort(peerPort).socketAddress());
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        listener.onConnectFailed();
                        return;
                    }
                    TcpConnection connection = new TcpConnection(connecting.channel());
                    listener.onConnected(connection);
                    connecting
                            .channel()
                            .closeFuture()
                            .addListener(closed -> listener.onClosed(connection));
                });
    }

    /** Adds the handlers that pass received messages to a listener. */
    private static final class RecordChannelInitializer extends ChannelInitializer<Channel> {

        private final ConnectionListener listener;

        RecordChannelInitializer(ConnectionListener listener) {
            this.listener = listener;
        }

        @Override
        protected void initChannel(Channel channel) {
            RecordChannel.install(
                    channel.pipeline(),
                    (from, message) -> listener.onMessage(new TcpConnection(from), message));
        }
    }
}
