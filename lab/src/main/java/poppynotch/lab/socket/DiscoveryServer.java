package poppynotch.lab.socket;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;
import poppynotch.lab.world.Discovery;
import poppynotch.lab.world.SimulatedDay;

/**
 * HTTP server of the discovery of one tier, for one sidecar: each sidecar has an address of its
 * own, so that it is known which list which sidecar received.
 *
 * <p>Listens from its construction on, on the event loop of the day; {@link #close} stops that.
 */
final class DiscoveryServer {

    private static final int MAX_REQUEST_BYTES = 8192;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final SimulatedDay day;
    private final int sidecar;
    private final int tier;
    private final Function<String, InetSocketAddress> addresses;
    private final LoopTime time;
    private final ChannelFuture bound;

    DiscoveryServer(
            EventLoop loop,
            SimulatedDay scene,
            int sidecar,
            int tier,
            Function<String, InetSocketAddress> addresses,
            LoopTime time,
            InetSocketAddress address) {
        this.day = scene;
        this.sidecar = sidecar;
        this.tier = tier;
        this.addresses = addresses;
        this.time = time;
        bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
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
                        .bind(address);
    }

    void close() {
        bound.channel().close();
    }

    /**
     * A server list in discovery's JSON format.
     *
     * @param listing the list
     * @param scene the day that the list is of
     * @param addresses of servers, by their ids
     * @param time for the servers' start times
     */
    static ObjectNode json(
            Discovery.Listing listing,
            SimulatedDay scene,
            Function<String, InetSocketAddress> addresses,
            LoopTime time) {
        ObjectNode list = JSON.createObjectNode();
        list.put("version", listing.version());
        list.put("full", listing.full());
        ArrayNode servers = list.putArray("servers");
        for (Server server : listing.servers()) {
            ObjectNode line = servers.addObject();
            line.put("id", server.id());
            line.put("addr", LoopbackAddresses.format(addresses.apply(server.id())));
            line.put("zone", scene.experiment().world().zones().get(server.zone()));
            line.put("kind", SocketWorld.MODEL);
            line.put("cell", server.cell());
            line.put("state", stateText(server.state()));
            line.put("weight", server.weight());
            line.put("started_ms", time.unixMs(server.startedMs()));
        }
        return list;
    }

    private static String stateText(ServerState state) {
        return switch (state) {
            case READY -> "in_service";
            case DRAINING -> "terminating";
            default -> "terminated";
        };
    }

    /** Answers the requests on one connection, as soon as the list is newer than the sidecar's. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private Discovery.PendingCall pending;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/registry/instances")) {
                answer(ctx, HttpResponseStatus.NOT_FOUND, new byte[0]);
                return;
            }
            pending =
                    day.discovery(tier)
                            .call(
                                    number(query, "index"),
                                    (double) number(query, "wait"),
                                    listing -> onListing(ctx, listing));
        }

        /** {@code listing} is null where discovery is unavailable. */
        private void onListing(ChannelHandlerContext ctx, Discovery.Listing listing) {
            pending = null;
            if (listing == null) {
                answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
                return;
            }
            byte[] body =
                    json(listing, day, addresses, time).toString().getBytes(StandardCharsets.UTF_8);
            answer(ctx, HttpResponseStatus.OK, body);
            day.onListingDelivered(sidecar, tier, listing);
        }

        /** A number among the parameters; 0 where it is missing or malformed. */
        private long number(QueryStringDecoder query, String name) {
            try {
                return Long.parseLong(query.parameters().getOrDefault(name, List.of("0")).get(0));
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ctx.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (pending != null) {
                pending.cancel();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
