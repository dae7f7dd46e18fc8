package poppynotch.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records on a TCP connection: each behind its length in four bytes. */
public final class RecordChannel {

    private static final Logger LOG = LoggerFactory.getLogger(RecordChannel.class);
    private static final int LENGTH_BYTES = 4;
    private static final int MOST_BYTES = 32 * 1024 * 1024;

    /** Takes what comes. */
    public interface Receiver {
        /** A message has come on a connection. */
        void received(Channel from, Message message);

        /** The connection has ended. */
        default void closed(Channel channel) {}
    }

    /** Bytes that this process has sent, and received, in records. */
    private static final LongAdder SENT = new LongAdder();

    private static final LongAdder RECEIVED = new LongAdder();

    private RecordChannel() {}

    /** Bytes of records sent since the process started. */
    public static long bytesSent() {
        return SENT.sum();
    }

    /** Bytes of records received since the process started. */
    public static long bytesReceived() {
        return RECEIVED.sum();
    }

    /** Lets a connection's records be read; damaged ones close it. */
    public static void install(ChannelPipeline pipeline, Receiver receiver) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(MOST_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(
                new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf record)
                            throws IOException {
                        RECEIVED.add(LENGTH_BYTES + record.readableBytes());
                        receiver.received(
                                ctx.channel(), MessageCodec.decode(ByteBufUtil.getBytes(record)));
                    }

                    @Override
                    public void channelInactive(ChannelHandlerContext ctx) {
                        receiver.closed(ctx.channel());
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        if (!(cause instanceof IOException)) {
                            LOG.warn("a connection between processes ends", cause);
                        }
                        ctx.close();
                    }
                });
    }

    /** Sends a message. */
    public static void send(Channel channel, Message message) {
        byte[] record = MessageCodec.encode(message);
        ByteBuf frame = channel.alloc().buffer(LENGTH_BYTES + record.length);
        SENT.add(LENGTH_BYTES + record.length);
        frame.writeInt(record.length).writeBytes(record);
        channel.writeAndFlush(frame);
    }
}
