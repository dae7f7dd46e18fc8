package poppynotch.lab.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
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
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for discovery that tells one list a service by long poll, each to each region at a
 * port of its own, and counts what it is asked. It answers at once and fails only those regions
 * that it is cut off from: what it shows is what the sidecars ask of it. Its methods may be called
 * from any thread but its own.
 */
final class ListServer implements AutoCloseable {

    private static final int MOST_REQUEST = 8192;

    /** No watch waits longer, whatever is asked. */
    private static final long MOST_WAIT_MS = 60_000;

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** What a server of a list can be in. */
    enum Phase {
        IN_SERVICE,
        TERMINATING
    }

    /**
     * One server of a list.
     *
     * @param id its name
     * @param address IP:port
     * @param zone its zone's name
     */
    record Server(String id, String address, String zone) {}

    /**
     * What it was asked since its start.
     *
     * @param requests all calls
     * @param bytesIn heads of the calls
     * @param bytesOut heads and bodies of the answers
     * @param connections that were made
     * @param open connections that stand now
     * @param watches calls that wait now
     * @param peak the most calls in a whole second, since {@link #forgetPeak}
     */
    record Counts(
            long requests,
            long bytesIn,
            long bytesOut,
            long connections,
            int open,
            int watches,
            long peak) {}

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("discovery", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final List<ServiceList> lists = new ArrayList<>();

    /** Regions that neither hear it nor are heard. */
    private final Set<String> apart = new HashSet<>();

    /** One for all lists, so that a version names one change. */
    private long version = 1;

    private long requests;
    private long bytesIn;
    private long bytesOut;
    private long connections;
    private int open;
    private long second;
    private long inSecond;
    private long peak;

    /**
     * Listens, at one port for each list.
     *
     * @throws IOException if it cannot
     */
    ListServer(String host, List<String> regions, List<List<Server>> services) throws IOException {
        try {
            for (List<Server> servers : services) {
                ServiceList list = new ServiceList(servers);
                lists.add(list);
                for (String region : regions) {
                    list.listeners.put(region, listen(host, list, region));
                }
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private Channel listen(String host, ServiceList list, String region) throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel fresh) {
                                        fresh.pipeline()
                                                .addLast(
                                                        new Counter(),
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MOST_REQUEST),
                                                        new Calls(list, region));
                                    }
                                })
                        .bind(new InetSocketAddress(host, 0))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "discovery cannot listen on " + host + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    /** Where the list of a service is told to a region: IP:port. */
    String address(int service, String region) {
        InetSocketAddress local =
                (InetSocketAddress) lists.get(service).listeners.get(region).localAddress();
        return local.getAddress().getHostAddress() + ":" + local.getPort();
    }

    /** Changes servers of lists, by service, all under one new version, which is returned. */
    long change(Map<Integer, List<String>> ids, Phase phase) throws IOException {
        return onLoop(
                () -> {
                    version++;
                    ids.forEach((service, servers) -> lists.get(service).change(servers, phase));
                    return version;
                });
    }

    /**
     * Cuts a region off, or ends that: connections still come up, but nothing on them is heard or
     * answered until it ends, and what was asked meanwhile stays without an answer.
     */
    void cut(String region, boolean off) throws IOException {
        onLoop(() -> off ? apart.add(region) : apart.remove(region));
    }

    /** What it was asked so far. */
    Counts counts() throws IOException {
        return onLoop(
                () -> {
                    roll();
                    return new Counts(
                            requests,
                            bytesIn,
                            bytesOut,
                            connections,
                            open,
                            lists.stream().mapToInt(list -> list.watches.size()).sum(),
                            Math.max(peak, inSecond));
                });
    }

    /** The peak counts from now on. */
    void forgetPeak() throws IOException {
        onLoop(
                () -> {
                    roll();
                    inSecond = 0;
                    peak = 0;
                    return null;
                });
    }

    private <T> T onLoop(Callable<T> task) throws IOException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IOException("discovery: " + e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void roll() {
        long now = System.nanoTime() / SECOND_NANOS;
        if (now != second) {
            peak = Math.max(peak, inSecond);
            inSecond = 0;
            second = now;
        }
    }

    /** The list of one service; on the loop. */
    private final class ServiceList {

        private final Map<String, Server> servers = new LinkedHashMap<>();
        private final Map<String, Phase> phases = new LinkedHashMap<>();
        private final Map<String, Long> changed = new LinkedHashMap<>();
        private final Set<Calls> watches = new LinkedHashSet<>();
        private long current = version;
        private final Map<String, Channel> listeners = new HashMap<>();

        ServiceList(List<Server> all) {
            for (Server server : all) {
                servers.put(server.id(), server);
                phases.put(server.id(), Phase.IN_SERVICE);
                changed.put(server.id(), current);
            }
        }

        void change(List<String> ids, Phase phase) {
            for (String id : ids) {
                if (!servers.containsKey(id)) {
                    throw new IllegalArgumentException("no list has the server " + id);
                }
                phases.put(id, phase);
                changed.put(id, version);
            }
            current = version;
            List.copyOf(watches).forEach(Calls::answer);
        }

        byte[] since(long from) {
            // Whoever comes with a version from another life of discovery gets the whole list too.
            boolean full = from <= 0 || from > current;
            StringBuilder json =
                    new StringBuilder("{\"version\":")
                            .append(current)
                            .append(",\"full\":")
                            .append(full)
                            .append(",\"servers\":[");
            String comma = "";
            for (Server server : servers.values()) {
                if (full || changed.get(server.id()) > from) {
                    json.append(comma)
                            .append("{\"id\":\"")
                            .append(server.id())
                            .append("\",\"addr\":\"")
                            .append(server.address())
                            .append("\",\"zone\":\"")
                            .append(server.zone())
                            .append("\",\"kind\":\"m1\",\"cell\":0,\"state\":\"")
                            .append(
                                    phases.get(server.id()) == Phase.IN_SERVICE
                                            ? "in_service"
                                            : "terminating")
                            .append("\",\"weight\":1.0,\"started_ms\":0}");
                    comma = ",";
                }
            }
            return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    /** Counts a connection and its bytes. */
    private final class Counter extends ChannelDuplexHandler {

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections++;
            open++;
            ctx.fireChannelActive();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            ctx.fireChannelInactive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ByteBuf bytes) {
                bytesIn += bytes.readableBytes();
            }
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                bytesOut += bytes.readableBytes();
            }
            ctx.write(message, promise);
        }
    }

    /** One connection, with one call at a time. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final ServiceList list;
        private final String region;
        private ChannelHandlerContext context;
        private Future<?> alarm;
        private long from;

        Calls(ServiceList list, String region) {
            this.list = list;
            this.region = region;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (apart.contains(region)) {
                return;
            }
            context = ctx;
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/registry/instances")) {
                respond(HttpResponseStatus.NOT_FOUND, new byte[0]);
                return;
            }
            roll();
            requests++;
            inSecond++;
            forget();
            from = number(query, "index");
            long wait = Math.min(MOST_WAIT_MS, number(query, "wait"));
            if (from != list.current || wait <= 0) {
                answer();
            } else {
                list.watches.add(this);
                alarm = loop.schedule(this::answer, wait, TimeUnit.MILLISECONDS);
            }
        }

        private long number(QueryStringDecoder query, String name) {
            try {
                return Long.parseLong(query.parameters().getOrDefault(name, List.of("0")).get(0));
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void forget() {
            list.watches.remove(this);
            if (alarm != null) {
                alarm.cancel(false);
                alarm = null;
            }
        }

        void answer() {
            forget();
            if (!apart.contains(region)) {
                respond(HttpResponseStatus.OK, list.since(from));
            }
        }

        private void respond(HttpResponseStatus status, byte[] body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            context.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            forget();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
