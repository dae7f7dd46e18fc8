package poppynotch.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.Request;
import poppynotch.balancer.RequestClass;

/**
 * The listener for clients: parses requests, answers what is no request, writes the final answers.
 */
final class Frontend {

    static final String DEADLINE = "X-Deadline-Ms";
    static final String KEY = "Idempotency-Key";
    private static final String ID = "X-Request-Id";
    private static final int BACKLOG = 1024;

    /** Requests that a client may send ahead of their answers on one connection. */
    private static final int MOST_AHEAD = 16;

    /**
     * Connections above the bound that are still taken in, to refuse what they ask in good order.
     */
    private static final int OVERFLOW = 32;

    private static final double OVERFLOW_COOL_DOWN_MS = 1000;

    /**
     * A request may take so long, or its head may: after that its body has to come on at a pace.
     */
    private static final int FREE_MS = 2000;

    /**
     * It comes on if in so long so much of it comes, a quarter of the slowest pace there may be. A
     * peer that sends no request must have an error or a close 3 s after it connected, so both
     * times together are less.
     */
    private static final int PACE_MS = 600;

    private static final int LEAST_PACE = 10 * 1024;

    /** For so long the rest of a body is still taken in after its request has had its answer. */
    private static final int REST_MS = 2000;

    /**
     * A connection that ends here stays open to what the peer still sends for so long and so much,
     * and drops it: a close over unread bytes is a reset, which could overtake the last answer.
     */
    private static final int LINGER_MS = 500;

    private static final int MOST_LINGERING = 64 * 1024;

    /** For so long it waits for a peer that does not take the answers that are written. */
    private static final int UNREAD_MS = 10_000;

    /** Connections accepted at once, which find out only then that there is no more room. */
    private static final int ACCEPTED_AT_ONCE = 4;

    /** Headers that concern one connection only. */
    private static final List<CharSequence> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.PROXY_CONNECTION,
                    "keep-alive",
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RateLimitedLog complaints;
    private final Exchange exchange;
    private int most;

    /**
     * The bytes of bodies that are not whole yet; what would be more is refused, as it has not run.
     */
    private final int mostHeld;

    private List<RequestClass> kinds;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();

    /** Those with no request in hand, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();

    /**
     * Those of all connections that have ended here and wait for their peers to end them, by their
     * age.
     */
    private final Set<Connection> lingering = new LinkedHashSet<>();

    /** What has come of bodies that are not whole yet. */
    private int heldInAll;

    private Channel listener;
    private boolean accepting;

    /** Other processes listen on the same socket. */
    private boolean shared;

    private boolean warm;

    /** When the last request must be answered, once it is to end. */
    private double endsAt = Double.POSITIVE_INFINITY;

    private boolean draining;

    /** Each answer is the last on its connection. */
    private boolean closing;

    /** What a drain has still to do. */
    private List<Future<?>> steps = List.of();

    Frontend(
            EventLoop loop,
            MonotonicClock clock,
            RateLimitedLog complaints,
            Exchange exchange,
            BalancerSettings settings,
            int most,
            int mostHeld) {
        this.loop = loop;
        this.clock = clock;
        this.complaints = complaints;
        this.exchange = exchange;
        this.most = most;
        this.mostHeld = mostHeld;
        use(settings);
    }

    /** What requests may be from now on. */
    void use(BalancerSettings settings) {
        kinds = settings.classes();
        classes.clear();
        kinds.forEach(kind -> classes.put(kind.name(), classes.size()));
        tenants.clear();
        settings.tenants().forEach(tenant -> tenants.put(tenant.name(), tenants.size()));
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                bootstrap()
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address);
        listener = bound.channel();
        accepting = true;
        return bound;
    }

    /**
     * Takes over a listener that other processes have too, and from which nothing is accepted
     * before {@link #accept}: what this process does not accept yet, another does.
     */
    ChannelFuture adopt(ServerSocketChannel bound) {
        ChannelFuture adopted =
                bootstrap()
                        .channelFactory(() -> new NioServerSocketChannel(bound))
                        .option(ChannelOption.AUTO_READ, false)
                        .register();
        listener = adopted.channel();
        shared = true;
        return adopted;
    }

    void accept() {
        accepting = true;
        mindRoom();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator()
                                .maxMessagesPerRead(ACCEPTED_AT_ONCE))
                .childOption(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sidecar.READS)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Sidecar.WINDOW)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel accepted) {
                                Connection connection = new Connection(accepted);
                                accepted.pipeline()
                                        .addLast(
                                                new ChannelInboundHandlerAdapter() {
                                                    @Override
                                                    public void channelRead(
                                                            ChannelHandlerContext ctx,
                                                            Object bytes) {
                                                        connection.reading = true;
                                                        if (connection.takesBytes(
                                                                (ByteBuf) bytes)) {
                                                            ctx.fireChannelRead(bytes);
                                                        } else {
                                                            ReferenceCountUtil.release(bytes);
                                                        }
                                                    }

                                                    @Override
                                                    public void channelReadComplete(
                                                            ChannelHandlerContext ctx) {
                                                        connection.reading = false;
                                                        ctx.fireChannelReadComplete();
                                                    }
                                                },
                                                new HttpServerCodec(),
                                                connection);
                            }
                        });
    }

    /** How many connections may carry requests. */
    void bound(int connections) {
        most = connections;
    }

    /** The code has run often enough to be quick: from now on it may be used. */
    void warm() {
        warm = true;
    }

    boolean isWarm() {
        return warm;
    }

    /** Null while this sidecar serves, else why it does not. */
    String unready() {
        return draining
                ? "draining"
                : !warm || !accepting
                        ? "starting"
                        : exchange.knowsEndpoints() ? null : "no endpoint is known";
    }

    /** It is to end: no request gets longer than until then. */
    void endIn(double ms) {
        endsAt = clock.now() + ms;
    }

    /**
     * Sends clients away: it is not ready any more; after a while each answer is the last on its
     * connection, and then connections that wait for none are let go.
     */
    void drain(long lastAnswersMs, long letGoMs) {
        steps.forEach(step -> step.cancel(false));
        draining = true;
        steps =
                List.of(
                        loop.schedule(() -> closing = true, lastAnswersMs, TimeUnit.MILLISECONDS),
                        loop.schedule(this::letGoIdle, letGoMs, TimeUnit.MILLISECONDS));
    }

    /** Ends a drain: clients may come and stay. */
    void resume() {
        steps.forEach(step -> step.cancel(false));
        draining = false;
        closing = false;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isEnding() {
        return endsAt < Double.POSITIVE_INFINITY;
    }

    void closeListener() {
        accepting = false;
        if (shared) {
            // Closing an inherited listener would turn the log away too: the library redirects 0, 1
            // and 2.
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    void close() {
        closeListener();
        letGoIdle();
    }

    /**
     * From now on each answer is the last on its connection; those that wait for none are closed.
     */
    private void letGoIdle() {
        closing = true;
        // Whose next request has begun to come gets its answer, which is the last, or an error in
        // time.
        List.copyOf(idle).stream()
                .filter(connection -> !connection.coming)
                .forEach(Connection::hangUp);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    private void mindRoom() {
        if (connections.size() - lingering.size() > most && !idle.isEmpty()) {
            idle.iterator().next().hangUp();
        }
        if (connections.size() >= most + OVERFLOW && !lingering.isEmpty()) {
            // It is owed nothing more; those that come must not wait for it.
            lingering.iterator().next().channel.close();
        }
        boolean room = connections.size() < most + OVERFLOW;
        if (!room) {
            complaints.log("no more connections are taken in", connections.size() + " are open");
        }
        listener.config().setAutoRead(room && accepting);
    }

    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final SocketChannel channel;

        /** In the order of the requests, which is the order that HTTP asks answers to be in. */
        private final Deque<Reply> replies = new ArrayDeque<>();

        /** Runs until the head, then while the body is to come. */
        private Future<?> clocked;

        /** The request that is coming in, or null. */
        private HttpRequest head;

        /** What has come of its body. */
        private ByteBuf held;

        /** Its body where that is passed on as it comes, and the answer that it will get. */
        private RelayedBody upload;

        private Reply uploading;

        /** It has had its answer: the rest of it is of no use. */
        private boolean discarding;

        /** A client that waits for the word to send its body gets it when its turn has come. */
        private boolean goAheadDue;

        private int cameLately;

        /** No request is taken any more: an answer was the last, or will be. */
        private boolean ending;

        /** What has come is being read just now, in the caller's own call. */
        private boolean reading;

        /** Bytes of a request have come that is not whole yet. */
        private boolean coming;

        /** This side has ended it; what has come since then was dropped. */
        private boolean hungUp;

        private int dropped;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        /** Whether what has come is to be read: on a connection that has ended here it is not. */
        private boolean takesBytes(ByteBuf bytes) {
            if (hungUp || ending && head == null && !discarding) {
                dropped += bytes.readableBytes();
                if (dropped > MOST_LINGERING) {
                    channel.close();
                }
                return false;
            }
            coming = !ending;
            awaitRequest();
            return true;
        }

        /**
         * Ends the connection once all that was written has gone out, and the peer has ended it
         * too.
         */
        private void hangUp() {
            if (hungUp || !channel.isActive()) {
                return;
            }
            hungUp = true;
            ending = true;
            lingering.add(this);
            idle.remove(this);
            closeIn(UNREAD_MS);
            // Behind the answers that a slow reader has not taken yet.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                            sent -> {
                                if (sent.isSuccess()) {
                                    closeIn(LINGER_MS);
                                    channel.shutdownOutput();
                                }
                            });
            mindReading();
        }

        private void closeIn(int ms) {
            stopClock();
            clocked = loop.schedule(() -> channel.close(), ms, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            mindRoom();
            idle.add(this);
            awaitRequest();
        }

        private void awaitRequest() {
            if (clocked == null && head == null && !ending) {
                clocked = loop.schedule(this::mindPace, FREE_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void stopClock() {
            if (clocked != null) {
                clocked.cancel(false);
                clocked = null;
            }
        }

        /** Bodies are judged by how they come on, as large ones may take long. */
        private void mindPace() {
            cameLately = 0;
            clocked =
                    loop.schedule(
                            () -> {
                                if (head != null && cameLately >= LEAST_PACE
                                        || !channel.config().isAutoRead()) {
                                    mindPace();
                                } else {
                                    tooSlow();
                                }
                            },
                            PACE_MS,
                            TimeUnit.MILLISECONDS);
        }

        private void tooSlow() {
            if (discarding || !coming) {
                // It has had its answer, or has asked for nothing: there is nothing to say.
                discarding = false;
                hangUp();
                return;
            }
            complaints.log(
                    "a peer sent no whole request in time", head == null ? "no head" : head.uri());
            stopTaking(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
        }

        /** Nothing on this connection can be understood any more; that is the last answer. */
        private void stopTaking(HttpResponseStatus status, String why) {
            stopClock();
            ending = true;
            discarding = false;
            Reply reply = uploading;
            if (reply == null) {
                reply = new Reply(this);
                replies.add(reply);
                idle.remove(this);
            } else if (reply.id != null) {
                exchange.clientGone(reply.id);
            }
            forgetIncoming();
            if (!reply.isAnswered()) {
                reply.plain(status, why, false);
            }
        }

        private void forgetIncoming() {
            letGoHeld();
            head = null;
            upload = null;
            uploading = null;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idle.remove(this);
            lingering.remove(this);
            stopClock();
            forgetIncoming();
            mindRoom();
            for (Reply reply : List.copyOf(replies)) {
                if (reply.id != null && !reply.over) {
                    exchange.clientGone(reply.id);
                }
            }
            replies.clear();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request && !ending) {
                begin(request);
            }
            if (message instanceof HttpContent content && (discarding || head != null)) {
                take(content);
            }
        }

        /**
         * Whether the client has ended the connection. Its end may have come and not been met yet,
         * where this sidecar was busy, or the connection waited to be taken in: it is looked for
         * now.
         */
        private boolean isGone() {
            if (!reading && channel.isActive()) {
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
            }
            return !channel.isActive();
        }

        private void letGoHeld() {
            heldInAll -= held == null ? 0 : held.readableBytes();
            held = null;
        }

        private void begin(HttpRequest request) {
            if (request.decoderResult().isFailure()) {
                stopTaking(HttpResponseStatus.BAD_REQUEST, "malformed request");
                return;
            }
            // Its first bytes may have come with the last ones of the request before.
            coming = true;
            awaitRequest();
            if (HttpUtil.getContentLength(request, 0L) > RelayedBody.MOST) {
                stopTaking(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
                return;
            }
            head = request;
            held = Unpooled.buffer(0);
            goAheadDue = HttpUtil.is100ContinueExpected(request);
            if (HttpUtil.getContentLength(request, 0L) > RelayedBody.WHOLE) {
                took(false);
            }
            goAhead();
        }

        private void goAhead() {
            if (goAheadDue && head != null && (replies.isEmpty() || replies.peek() == uploading)) {
                goAheadDue = false;
                channel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }

        private void take(HttpContent content) {
            ByteBuf data = content.content();
            boolean last = content instanceof LastHttpContent;
            cameLately += data.readableBytes();
            if (content.decoderResult().isFailure()) {
                stopTaking(HttpResponseStatus.BAD_REQUEST, "malformed request");
            } else if (discarding) {
                endDiscarding(last);
            } else if (upload != null) {
                upload.add(data);
                // What is passed on may have failed at once, and the rest be of no use.
                if (last && upload != null) {
                    RelayedBody whole = upload;
                    coming = false;
                    stopClock();
                    forgetIncoming();
                    whole.end();
                }
            } else {
                heldInAll += data.readableBytes();
                held.writeBytes(data);
                if (heldInAll > mostHeld && !last) {
                    refuseIncoming();
                } else if (last || held.readableBytes() > RelayedBody.WHOLE) {
                    took(last);
                }
            }
            mindReading();
        }

        private void refuseIncoming() {
            complaints.log(
                    "a request is refused", "those still to come hold " + heldInAll + " bytes");
            uploading = new Reply(this);
            uploading.keepAlive = HttpUtil.isKeepAlive(head);
            replies.add(uploading);
            idle.remove(this);
            uploading.refused(OVERFLOW_COOL_DOWN_MS);
        }

        /** The request is there, or so much of it that the rest is passed on as it comes. */
        private void took(boolean whole) {
            HttpRequest request = head;
            Reply reply = new Reply(this);
            replies.add(reply);
            idle.remove(this);
            reply.keepAlive = HttpUtil.isKeepAlive(request);
            reply.old = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
            ending = !reply.keepAlive;
            RelayedBody body = null;
            coming = !whole;
            if (whole) {
                stopClock();
            } else {
                ByteBuf first = held;
                letGoHeld();
                body = new RelayedBody(clock, wanted -> mindReading(), first);
                upload = body;
                uploading = reply;
            }
            byte[] small = whole ? ByteBufUtil.getBytes(held) : null;
            if (whole) {
                forgetIncoming();
            }
            // Once its bytes are read, so that it can be looked whether its client has gone since
            // then.
            RelayedBody large = body;
            loop.execute(
                    () -> {
                        if (channel.isActive() && !reply.isAnswered()) {
                            dispatch(reply, request, small, large);
                        }
                    });
        }

        /**
         * The answer has come before all of its request: the rest is taken in for a while, and
         * dropped.
         */
        private void discardRest(Reply answered) {
            if (uploading == answered) {
                forgetIncoming();
                discarding = true;
                stopClock();
                clocked = loop.schedule(this::tooSlow, REST_MS, TimeUnit.MILLISECONDS);
            }
        }

        private void endDiscarding(boolean last) {
            if (last) {
                discarding = false;
                coming = false;
                stopClock();
                if (ending) {
                    hangUp();
                }
            }
        }

        private void mindReading() {
            channel.config()
                    .setAutoRead(
                            hungUp
                                    || discarding
                                    || replies.size() < MOST_AHEAD
                                            && channel.isWritable()
                                            && (upload == null || upload.isWanted()));
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            Reply first = replies.peek();
            if (first != null && first.begun && first.download != null) {
                first.download.wants(channel.isWritable());
            }
            mindReading();
        }

        private void dispatch(Reply reply, HttpRequest request, byte[] body, RelayedBody large) {
            String expected = request.headers().get(HttpHeaderNames.EXPECT);
            if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
                reply.plain(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation", true);
                return;
            }
            String target = target(request.uri());
            int query = target.indexOf('?');
            switch (query < 0 ? target : target.substring(0, query)) {
                case "/api" -> api(reply, request, target, body, large);
                case "/health/ready" -> ready(reply);
                default -> reply.plain(HttpResponseStatus.NOT_FOUND, "unknown path", true);
            }
        }

        /** Path and query; a client may put scheme and host before them. */
        private static String target(String uri) {
            int host = uri.regionMatches(true, 0, "http://", 0, 7) ? 7 : -1;
            int path = host < 0 ? 0 : uri.indexOf('/', host);
            return path < 0 ? "/" : uri.substring(path);
        }

        private void ready(Reply reply) {
            String unready = unready();
            reply.plain(
                    unready == null
                            ? HttpResponseStatus.OK
                            : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    unready == null ? "ready" : unready,
                    true);
        }

        private void api(
                Reply reply, HttpRequest request, String target, byte[] body, RelayedBody large) {
            HttpHeaders headers = request.headers();
            String id = headers.get(ID);
            Integer kind = classes.get(headers.get("X-Class", ""));
            Integer tenant =
                    tenants.isEmpty()
                            ? Integer.valueOf(0)
                            : tenants.get(headers.get("X-Tenant", ""));
            long deadline = deadline(headers.get(DEADLINE, ""));
            if (!request.method().equals(HttpMethod.GET)
                    && !request.method().equals(HttpMethod.POST)) {
                reply.plain(
                        HttpResponseStatus.METHOD_NOT_ALLOWED,
                        "only GET and POST are served",
                        true);
            } else if (id == null || id.isEmpty() || headers.getAll(ID).size() > 1) {
                reply.plain(
                        HttpResponseStatus.BAD_REQUEST, ID + " is missing or there twice", true);
            } else if (kind == null) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, "X-Class is missing or unknown", true);
            } else if (tenant == null) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, "X-Tenant is missing or unknown", true);
            } else if (deadline < 0) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, DEADLINE + " is no whole number", true);
            } else if (!isOfItsClass(kinds.get(kind), request, large != null || body.length > 0)) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, "not the form of its class", true);
            } else if (exchange.has(id)) {
                reply.plain(
                        HttpResponseStatus.CONFLICT, ID + " is that of a request in hand", true);
            } else if (connections.size() - lingering.size() > most) {
                reply.keepAlive = false;
                reply.refused(OVERFLOW_COOL_DOWN_MS);
            } else {
                reply.id = id;
                exchange.request(
                        new Request(
                                id,
                                kind,
                                tenant,
                                Math.min(endsAt, clock.now() + deadline),
                                "1".equals(headers.get("X-Retry"))),
                        message(request, target, body, large),
                        reply);
            }
        }

        /**
         * What is safe to repeat is a GET without a body, all else a POST; a keyed one has its key.
         */
        private static boolean isOfItsClass(
                RequestClass kind, HttpRequest request, boolean hasBody) {
            if (kind.effect() == Idempotency.REPEATABLE) {
                return request.method().equals(HttpMethod.GET) && !hasBody;
            }
            return request.method().equals(HttpMethod.POST)
                    && (kind.effect() != Idempotency.BY_KEY
                            || !request.headers().get(KEY, "").isEmpty());
        }

        private static Exchange.Message message(
                HttpRequest request, String target, byte[] body, RelayedBody large) {
            HttpHeaders headers = request.headers().copy();
            // A client may name more headers that are for this connection only, but not what a
            // request needs.
            request.headers().getAll(HttpHeaderNames.CONNECTION).stream()
                    .flatMap(named -> Stream.of(named.split(",")))
                    .map(String::trim)
                    .filter(
                            named ->
                                    !named.isEmpty()
                                            && !named.equalsIgnoreCase(ID)
                                            && !named.equalsIgnoreCase(KEY)
                                            && !named.equalsIgnoreCase("Content-Length"))
                    .forEach(headers::remove);
            HOP_BY_HOP.forEach(headers::remove);
            if (large != null && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else if (large == null && body.length > 0) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            return new Exchange.Message(request.method(), target, headers, body, large);
        }

        /** Writes the answers that are there, as far as none before them is missing. */
        private void flush() {
            while (!replies.isEmpty() && replies.peek().isAnswered()) {
                Reply reply = replies.peek();
                if (!reply.begun) {
                    discardRest(reply);
                    // What was sent ahead on the connection is in hand too, and gets its answer
                    // first.
                    reply.last = closing && replies.size() == 1 && !discarding || !reply.keepAlive;
                    ending |= reply.last;
                    if (reply.last) {
                        reply.response.headers().set(HttpHeaderNames.CONNECTION, "close");
                    }
                    reply.begun = true;
                    channel.writeAndFlush(reply.response);
                    if (reply.download != null) {
                        reply.download.attach(reply);
                    } else {
                        reply.ended();
                    }
                }
                if (!reply.over) {
                    break;
                }
                replies.remove(reply);
            }
            if (replies.isEmpty() && connections.contains(this) && !ending) {
                idle.add(this);
            }
            goAhead();
            mindReading();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Clients come and go; only what is not the network's doing is worth a line.
            if (cause instanceof java.io.IOException) {
                ctx.close();
            } else if (!ending) {
                complaints.bug("connection of a client", cause);
                stopTaking(HttpResponseStatus.BAD_REQUEST, "malformed request");
            }
        }
    }

    /** The milliseconds, or -1 for what is no whole number of a sane size. */
    private static long deadline(String text) {
        if (text.isEmpty()
                || text.length() > 9
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(text);
    }

    /** The answer that one request on a connection will get. */
    private final class Reply implements Exchange.Client, RelayedBody.Sink {
        private final Connection connection;
        private String id;
        private boolean keepAlive;

        /** The client speaks HTTP/1.0. */
        private boolean old;

        /** All of the answer, or its head. */
        private HttpResponse response;

        /** Its body where that is passed on as it comes. */
        private RelayedBody download;

        private boolean begun;

        /** The connection ends with it. */
        private boolean last;

        private boolean over;

        Reply(Connection connection) {
            this.connection = connection;
        }

        boolean isAnswered() {
            return response != null;
        }

        @Override
        public void served(EndpointPool.Answer answer) {
            HttpResponse served;
            if (answer.stream() == null) {
                served = response(HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()));
            } else {
                served = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                download = answer.stream();
                frame(served, answer.length());
            }
            if (answer.contentType() != null) {
                served.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            }
            answer(served);
        }

        /**
         * A client of the first version knows no chunks: for it a body of unknown length ends by a
         * close.
         */
        private void frame(HttpResponse served, long length) {
            if (length >= 0) {
                served.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            } else if (old) {
                keepAlive = false;
            } else {
                served.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
        }

        @Override
        public void part(ByteBuf data) {
            connection.channel.writeAndFlush(new DefaultHttpContent(data));
            download.wants(connection.channel.isWritable());
        }

        @Override
        public void end() {
            connection.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            ended();
            connection.flush();
        }

        /**
         * With a reset the client can tell that it is not whole, whatever was to show where it
         * ends.
         */
        @Override
        public void broken() {
            if (connection.channel.isActive()) {
                connection.channel.config().setOption(ChannelOption.SO_LINGER, 0);
                connection.channel.close();
            }
        }

        /** The last byte is on its way, after which the connection may have to go. */
        private void ended() {
            over = true;
            if ((last || closing && connection.replies.size() == 1) && !connection.discarding) {
                connection.hangUp();
            }
        }

        @Override
        public void refused(double coolDownMs) {
            FullHttpResponse refusal =
                    response(HttpResponseStatus.SERVICE_UNAVAILABLE, text("refused"));
            if (coolDownMs > 0) {
                refusal.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(Locale.ROOT, "%.3f", coolDownMs / 1000));
            }
            answer(refusal);
        }

        @Override
        public boolean isGone() {
            return connection.isGone();
        }

        @Override
        public void failed() {
            answer(response(HttpResponseStatus.BAD_GATEWAY, text("failed")));
        }

        void plain(HttpResponseStatus status, String why, boolean keep) {
            keepAlive &= keep;
            answer(response(status, text(why)));
        }

        private void answer(HttpResponse made) {
            response = made;
            connection.flush();
        }

        private ByteBuf text(String line) {
            return Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.US_ASCII));
        }

        private FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
            FullHttpResponse made = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            made.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            return made;
        }
    }
}
