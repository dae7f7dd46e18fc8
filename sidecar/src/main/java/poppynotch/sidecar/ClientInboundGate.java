package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * The first handler of a client's connection: it sees bytes before they are decoded, and drops
 * those that its {@link ClientConnection} does not accept any more. It runs on the sidecar's event
 * loop. Buffers that are dropped are released here; all others go to the next handler, which
 * releases them.
 */
final class ClientInboundGate extends ChannelInboundHandlerAdapter {

    private final ClientConnection connection;

    ClientInboundGate(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        connection.setReading(true);
        if (connection.acceptsBytes((ByteBuf) bytes)) {
            ctx.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        connection.setReading(false);
        ctx.fireChannelReadComplete();
    }
}
