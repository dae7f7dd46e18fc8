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

/**
 * Framing of {@link Message}s on a TCP connection: each record has a four-byte length prefix. Also
 * counts the bytes of all connections of the process; the counters may be read from any thread.
 */
public final class RecordChannel {

    private static final Logger LOG = LoggerFactory.getLogger(RecordChannel.class);
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int MAX_RECORD_BYTES = 32 * 1024 * 1024;

    /** Bytes of records including their length fields, since the process started. */
    private static final LongAdder BYTES_SENT = new LongAdder();

    private static final LongAdder BYTES_RECEIVED = new LongAdder();

    /** Listener for a connection's messages, called on the connection's event loop. */
    public interface MessageListener {
        /** A message has arrived on a connection. */
        void onMessage(Channel from, Message message);

        /** The connection is closed. */
        default void onClosed(Channel channel) {}
    }

    private RecordChannel() {}

    /** Bytes of records sent since the process started. */
    public static long bytesSent() {
        return BYTES_SENT.sum();
    }

    /** Bytes of records received since the process started. */
    public static long bytesReceived() {
        return BYTES_RECEIVED.sum();
    }

    /**
     * Adds the handlers that decode a connection's records and pass them to {@code receiver}. A
     * malformed record closes the connection.
     */
    public static void install(ChannelPipeline pipeline, MessageListener receiver) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_RECORD_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new RecordHandler(receiver));
    }

    /** Sends a message. May be called from any thread; a failed write is not reported. */
    public static void send(Channel channel, Message message) {
        byte[] record = MessageCodec.encode(message);
        // The channel releases the frame when the write completes or fails.
        ByteBuf frame = channel.alloc().buffer(LENGTH_FIELD_BYTES + record.length);
        BYTES_SENT.add(LENGTH_FIELD_BYTES + record.length);
        frame.writeInt(record.length).writeBytes(record);
        channel.writeAndFlush(frame);
    }

    /** Decodes one record per frame; the superclass releases the frame. */
    private static final class RecordHandler extends SimpleChannelInboundHandler<ByteBuf> {

        private final MessageListener receiver;

        RecordHandler(MessageListener receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf record) throws IOException {
            BYTES_RECEIVED.add(LENGTH_FIELD_BYTES + record.readableBytes());
            receiver.onMessage(ctx.channel(), MessageCodec.decode(ByteBufUtil.getBytes(record)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            receiver.onClosed(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An IOException is a lost connection or a malformed record, which are not logged.
            if (!(cause instanceof IOException)) {
                LOG.warn(
                        "Peer connection closed on error: remote={}",
                        ctx.channel().remoteAddress(),
                        cause);
            }
            ctx.close();
        }
    }
}
