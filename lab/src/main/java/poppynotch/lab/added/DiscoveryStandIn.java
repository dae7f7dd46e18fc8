package poppynotch.lab.added;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import poppynotch.lab.socket.LoopbackAddresses;

/**
 * Test double of discovery, with one server list that never changes: a watch of it ends after its
 * wait, with nothing new. Runs on one event loop; {@link #close} ends it, from any thread.
 */
final class DiscoveryStandIn {

    /** The zone of all servers. */
    static final String ZONE = "a";

    /** The kind of all servers. */
    static final String KIND = "m1";

    private static final int MAX_REQUEST_BYTES = 8192;
    private static final long VERSION = 1;
    private static final long MAX_WAIT_MS = 60_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final byte[] fullList;
    private final byte[] emptyUpdate =
            list(List.of(), false).toString().getBytes(StandardCharsets.UTF_8);
    private final Channel listener;

    /** Listens at a free port of 127.0.0.1 and serves the list of these servers. */
    DiscoveryStandIn(EventLoop loop, List<InetSocketAddress> servers) {
        fullList = list(servers, true).toString().getBytes(StandardCharsets.UTF_8);
        listener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                                        new RequestHandler());
                                    }
                                })
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .syncUninterruptibly()
                        .channel();
    }

    /** A list in discovery's JSON format; all servers have been in service for long. */
    static ObjectNode list(List<InetSocketAddress> servers, boolean full) {
        ObjectNode list = JSON.createObjectNode().put("version", VERSION).put("full", full);
        ArrayNode lines = list.putArray("servers");
        for (int i = 0; i < servers.size(); i++) {
            lines.addObject()
                    .put("id", "s-" + i)
                    .put("addr", LoopbackAddresses.format(servers.get(i)))
                    .put("zone", ZONE)
                    .put("kind", KIND)
                    .put("cell", 0)
                    .put("state", "in_service")
                    .put("weight", 1.0)
                    .put("started_ms", 0);
        }
        return list;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    void close() {
        listener.close();
    }

    /** Answers the watches on one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (number(query, "index") < VERSION) {
                answer(ctx, fullList);
            } else {
                ctx.executor()
                        .schedule(
                                () -> answer(ctx, emptyUpdate),
                                Math.min(MAX_WAIT_MS, number(query, "wait")),
                                TimeUnit.MILLISECONDS);
            }
        }

        private long number(QueryStringDecoder query, String name) {
            try {
                return Long.parseLong(query.parameters().getOrDefault(name, List.of("0")).get(0));
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void answer(ChannelHandlerContext ctx, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
