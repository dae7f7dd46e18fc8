package poppynotch.router;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.BooleanSupplier;

/**
 * Answers the platform's readiness probes on one connection, for any path: 200 if this process may
 * receive client connections, else 503. Used on the event loop of its channel.
 */
final class ReadinessHandler extends SimpleChannelInboundHandler<HttpRequest> {

    private final BooleanSupplier readiness;

    /**
     * Creates the handler of one channel, which follows an HTTP codec in the pipeline.
     *
     * @param readiness evaluated for each probe on the channel's event loop
     */
    ReadinessHandler(BooleanSupplier readiness) {
        this.readiness = readiness;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpRequest request) {
        HttpResponseStatus status =
                readiness.getAsBoolean()
                        ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE;
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = ctx.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
