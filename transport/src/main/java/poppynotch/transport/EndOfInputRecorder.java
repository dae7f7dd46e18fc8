package poppynotch.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Records that the peer has ended its output in an orderly way and that all of it was read, on a
 * channel with the option {@code ALLOW_HALF_CLOSURE}. Only this shows that a response without a
 * length is complete: an HTTP decoder ends such a response at any end of its connection.
 *
 * <p>It must be added before the decoder, so that it receives the event first. One instance for
 * each channel, used on its event loop; it holds nothing that must be released.
 */
public final class EndOfInputRecorder extends ChannelInboundHandlerAdapter {

    private boolean ended;

    /** Whether the peer has ended its output. */
    public boolean hasEnded() {
        return ended;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            ended = true;
        }
        ctx.fireUserEventTriggered(event);
    }
}
