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

/** Connections to core processes as records over TCP. Owned by the event loop. */
final class TcpControlConnector implements ControlConnector {

    private static final int CONNECT_MS = 400;

    /** A channel that messages can be sent on. */
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

    /** A connector to the port on which core processes talk to edges. */
    TcpControlConnector(EventLoop loop, int peerPort) {
        this.peerPort = peerPort;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
    }

    @Override
    public void connect(String core, User user) {
        ChannelFuture future =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel fresh) {
                                        RecordChannel.install(
                                                fresh.pipeline(),
                                                (from, message) ->
                                                        user.received(
                                                                new TcpConnection(from), message));
                                    }
                                })
                        .connect(HostPort.parse(core).withPort(peerPort).socketAddress());
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        TcpConnection connection = new TcpConnection(future.channel());
                        user.connected(connection);
                        future.channel()
                                .closeFuture()
                                .addListener(closed -> user.closed(connection));
                    } else {
                        user.unreachable();
                    }
                });
    }
}
