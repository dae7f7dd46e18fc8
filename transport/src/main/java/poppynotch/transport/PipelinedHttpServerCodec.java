package poppynotch.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.concurrent.TimeUnit;

/**
 * Creates the HTTP codecs of servers whose clients pipeline requests, and ends connections without
 * losing the last response. Stateless.
 */
public final class PipelinedHttpServerCodec {

    /** The most bytes that Netty reads at once, unless it is configured otherwise. */
    private static final int MAX_BYTES_PER_READ = 64 * 1024;

    /** The length of {@code G / HTTP/1.1}, its line end and the empty line after it. */
    private static final int SHORTEST_REQUEST_BYTES = 16;

    /**
     * How long the peer has to close a connection whose output has ended: all that it sent before
     * must be read, as closing a socket with unread bytes sends a reset, which may overtake the
     * last response.
     */
    private static final long LINGER_TIMEOUT_MS = 500;

    private PipelinedHttpServerCodec() {}

    /**
     * Creates the codec of one connection. With Netty's default limit of 128 pipelined requests a
     * connection would fail; here the handler behind the codec pauses reading, so the limit covers
     * the requests that it lets wait and those of one more read.
     *
     * @param maxWaitingRequests requests without a response at which the handler pauses reading
     */
    public static ChannelHandler create(HttpDecoderConfig limits, int maxWaitingRequests) {
        return new HttpServerCodec(
                limits, maxWaitingRequests + MAX_BYTES_PER_READ / SHORTEST_REQUEST_BYTES);
    }

    /**
     * Ends a connection after its last response: ends the output, and closes the channel once the
     * peer has closed it too, or after a timeout. The handler must drop input that still arrives.
     * Must be called on the channel's event loop.
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
