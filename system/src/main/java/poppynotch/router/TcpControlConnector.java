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
 * Connections to control-plane replicas that carry messages as records over TCP. Used on the edge's
 * event loop only, which all of its channels belong to.
 */
final class TcpControlConnector implements ControlConnector {

    private static final int CONNECT_TIMEOUT_MS = 400;

    /** A connection, equal to another one if their channels are. */
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
     * A connector without connections.
     *
     * @param peerPort the port on which replicas accept edges, whatever port their address names
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

    /** Prepares a channel to pass the messages that arrive to a listener. */
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
