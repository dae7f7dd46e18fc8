package poppynotch.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.concurrent.TimeUnit;

/**
 * How servers of the fleet read requests that clients send ahead of their responses, and how they
 * end a connection without losing its last response. Stateless.
 */
public final class PipelinedHttpServerCodec {

    /** Netty reads so many bytes at once at most, unless it is configured otherwise. */
    private static final int MAX_BYTES_PER_READ = 64 * 1024;

    /** The length of {@code G / HTTP/1.1} with the ends of its two lines. */
    private static final int SHORTEST_REQUEST_BYTES = 16;

    /**
     * The peer has so long to close a connection whose output has ended: all that it sent before
     * must be read, as the close of a socket with unread bytes is a reset, which may overtake the
     * last response.
     */
    private static final long LINGER_TIMEOUT_MS = 500;

    private PipelinedHttpServerCodec() {}

    /**
     * A codec for one connection. Netty's own bound of 128 pipelined requests breaks a connection
     * off; here the handler behind the codec pauses reading, so that no more wait than it allows
     * and one read brings.
     *
     * @param maxWaitingRequests requests without a response at which the handler pauses reading
     */
    public static ChannelHandler create(HttpDecoderConfig limits, int maxWaitingRequests) {
        return new HttpServerCodec(
                limits, maxWaitingRequests + MAX_BYTES_PER_READ / SHORTEST_REQUEST_BYTES);
    }

    /**
     * Ends a connection after its last response: ends the output, and closes the channel once the
     * peer has closed it too, or after a time-out. The handler must drop what still arrives. To be
     * called on the channel's event loop.
     *
     * @param lastWrite the write of the last response
     */
    public static void closeAfter(ChannelFuture lastWrite) {
        lastWrite.addListener(written -> endOutput(lastWrite.channel(), written.isSuccess()));
    }

    private static void endOutput(Channel channel, boolean isWritten) {
        if (isWritten && channel instanceof DuplexChannel duplex) {
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
            channel.eventLoop()
                    .schedule((Runnable) channel::close, LINGER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }
}
