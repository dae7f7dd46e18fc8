package poppynotch.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * The first handler of a client's connection, before the decoder: it drops bytes that its {@link
 * ClientConnection} does not accept any more. It runs on the sidecar's event loop. Dropped buffers
 * are released here, all others by the next handler.
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
