package poppynotch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.ServerState;

/** The connections to each endpoint: one request at a time on each, kept alive, bounded in all. */
final class EndpointPool {

    /**
     * An idle connection is closed at this part of the time after which the endpoint may close it.
     */
    private static final double IDLE_SHARE = 0.5;

    private static final int SWEEPS = 10;

    /** What comes of an attempt; nothing is told after {@link Attempt#giveUp}. */
    interface Ending {
        /** A large answer has begun, which is passed on as it comes; its end is told too. */
        void started(Answer answer);

        /** How the attempt ended; it is told once. */
        void ended(AttemptOutcome outcome, Answer answer);
    }

    /**
     * What an endpoint answered with 200.
     *
     * @param body all of the body, or null for a large one
     * @param stream a large body on its way, or null
     * @param length the length of a large body, or -1 if it is not told
     */
    record Answer(String contentType, byte[] body, RelayedBody stream, long length) {}

    /** One request on its way to an endpoint. */
    final class Attempt {
        private final HttpRequest request;

        /** Its body where that is passed on as it comes, else null. */
        private final RelayedBody upload;

        /** After this its last byte must not go out any more. */
        private final double notAfter;

        private Ending ending;
        private Connection connection;

        /** The last byte has been handed to the network: from here on the request may have run. */
        private boolean written;

        private Attempt(HttpRequest request, RelayedBody upload, double notAfter, Ending ending) {
            this.request = request;
            this.upload = upload;
            this.notAfter = notAfter;
            this.ending = ending;
        }

        /** Whether all of it has gone out, so that it may run. */
        boolean isWritten() {
            return written;
        }

        /**
         * Stops waiting and closes the connection, which tells the endpoint; true if it may have
         * run.
         */
        boolean giveUp() {
            ending = null;
            connection.close();
            // No more of the body may go there, while the connection closes, than has gone.
            connection.leave(this);
            return written;
        }

        private void start(Answer answer) {
            if (ending != null) {
                ending.started(answer);
            }
        }

        private void end(AttemptOutcome outcome, Answer answer) {
            Ending told = ending;
            ending = null;
            if (told != null) {
                told.ended(outcome, answer);
            }
        }
    }

    private static final class Endpoint {
        final String id;
        InetSocketAddress address;
        double startedMs;

        /** The most recently used last. */
        final Deque<Connection> idle = new ArrayDeque<>();

        /** Raised when the endpoint's connections are of no more use; older ones are not kept. */
        int generation;

        /** Its list wants nothing new to go there. */
        boolean drains;

        Endpoint(String id) {
            this.id = id;
        }
    }

    private final MonotonicClock clock;
    private final RateLimitedLog complaints;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private double idleMs;
    private int most;
    private final Map<String, Endpoint> endpoints = new HashMap<>();

    /** Those that operators want nothing new to go to, whether a list names them or not. */
    private final Set<String> barred = new HashSet<>();

    /** All idle connections, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();

    private Future<?> sweeping;
    private int open;

    EndpointPool(
            EventLoop loop,
            MonotonicClock clock,
            RateLimitedLog complaints,
            double dialMs,
            double idleCloseMs,
            int most) {
        this.loop = loop;
        this.clock = clock;
        this.complaints = complaints;
        this.most = most;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, Sidecar.BUFFERS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, Sidecar.READS)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Sidecar.WINDOW);
        use(dialMs, idleCloseMs);
    }

    /** How long a connect may take, and when endpoints close idle connections at the latest. */
    void use(double dialMs, double idleCloseMs) {
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs));
        idleMs = idleCloseMs * IDLE_SHARE;
        if (sweeping != null) {
            sweeping.cancel(false);
        }
        long sweep = (long) Math.ceil(idleMs / SWEEPS);
        sweeping =
                loop.scheduleWithFixedDelay(this::closeStale, sweep, sweep, TimeUnit.MILLISECONDS);
    }

    /** How many connections there may be at once. */
    void bound(int connections) {
        most = connections;
    }

    /**
     * Takes in where endpoints listen; connections to a process or address that is no more are
     * dropped.
     */
    void update(ServerList list) {
        if (list.full()) {
            Set<String> named = new HashSet<>();
            list.entries().forEach(entry -> named.add(entry.server().id()));
            for (String id : List.copyOf(endpoints.keySet())) {
                if (!named.contains(id)) {
                    retire(endpoints.remove(id));
                }
            }
        }
        for (ServerList.Entry entry : list.entries()) {
            String id = entry.server().id();
            if (entry.server().state() == ServerState.GONE) {
                retire(endpoints.remove(id));
                continue;
            }
            Endpoint endpoint = endpoints.computeIfAbsent(id, Endpoint::new);
            if (!entry.address().equals(endpoint.address)
                    || entry.server().startedMs() != endpoint.startedMs) {
                retire(endpoint);
            }
            endpoint.address = entry.address();
            endpoint.startedMs = entry.server().startedMs();
            endpoint.drains = entry.server().state() != ServerState.READY;
        }
    }

    /** Operators want nothing new to go to an endpoint, or allow it again. */
    void bar(String id, boolean out) {
        if (out) {
            barred.add(id);
        } else {
            barred.remove(id);
        }
    }

    private static void retire(Endpoint endpoint) {
        if (endpoint != null) {
            endpoint.generation++;
            closeAll(endpoint);
        }
    }

    /** Closes the idle connections to an endpoint. */
    void disconnect(String id) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            closeAll(endpoint);
        }
    }

    private static void closeAll(Endpoint endpoint) {
        for (Connection connection : List.copyOf(endpoint.idle)) {
            connection.close();
        }
    }

    /**
     * Sends a request once, on an idle connection or a new one. It may end before this returns. A
     * connection that comes up too late, when nothing new may go there or the time for it is over,
     * ends the attempt as one that could not connect.
     *
     * @param notAfter when its last byte may go out at the latest, on the sidecar's clock
     */
    Attempt send(
            String id, HttpRequest request, RelayedBody upload, double notAfter, Ending ending) {
        Attempt attempt = new Attempt(request, upload, notAfter, ending);
        Endpoint endpoint = endpoints.get(id);
        closeStale();
        Connection connection = endpoint == null ? null : quietIdle(endpoint);
        if (connection != null) {
            connection.write(attempt);
        } else if (endpoint == null) {
            refuse(attempt, "no address is known of " + id);
        } else if (open >= most && !closeLongestIdle()) {
            refuse(attempt, "all " + most + " connections to endpoints are busy");
        } else {
            new Connection(endpoint).open(attempt);
        }
        return attempt;
    }

    /**
     * An idle connection to an endpoint that is as it was left, or null. What has come on one since
     * then, or its end, may not have been read yet: it is looked for now, as it must not be taken
     * for an answer.
     */
    private static Connection quietIdle(Endpoint endpoint) {
        Connection last = endpoint.idle.peekLast();
        while (last != null && !last.isQuiet()) {
            last.close();
            last = endpoint.idle.peekLast();
        }
        return last;
    }

    private void refuse(Attempt attempt, String why) {
        complaints.log("no connection", why);
        ReferenceCountUtil.release(attempt.request);
        attempt.end(AttemptOutcome.CONNECT_ERROR, null);
    }

    private boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.iterator().next().close();
        return true;
    }

    private void closeStale() {
        double before = clock.now() - idleMs;
        while (!idle.isEmpty() && idle.iterator().next().idleSince < before) {
            closeLongestIdle();
        }
    }

    /** Lets go of all idle connections; no more are looked after. */
    void close() {
        sweeping.cancel(false);
        endpoints.values().forEach(EndpointPool::closeAll);
    }

    /** Takes for an answer only what is one: the library's own decoder is lenient with answers. */
    static final class StrictDecoder extends HttpResponseDecoder {
        private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

        /** Whether more has come than belongs to the messages read so far. */
        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            HttpMessage made = super.createMessage(statusLine);
            if (made.protocolVersion().majorVersion() != 1
                    || !STATUS.matcher(statusLine[1]).matches()) {
                throw new IllegalArgumentException(
                        "no HTTP/1 status line: " + String.join(" ", statusLine));
            }
            return made;
        }

        /**
         * The library ends a name at a blank too, and so finds a header in a line that has no
         * colon.
         */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("a header line without a colon after its name");
            }
            return super.splitHeaderName(line, start, length);
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter
            implements RelayedBody.Sink {
        private final Endpoint endpoint;
        private final int generation;
        private final StrictDecoder decoder = new StrictDecoder();
        private Channel channel;
        private Attempt attempt;

        /** What has come is being read just now, in the caller's own call. */
        private boolean reading;

        private double idleSince;
        private HttpResponse head;
        private ByteBuf body;

        /** The answer's body, where that is passed on as it comes. */
        private RelayedBody download;

        /** It ends by an error, or by this side's will: what has come is not all. */
        private boolean failed;

        Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
            generation = endpoint.generation;
        }

        void open(Attempt first) {
            attempt = first;
            first.connection = this;
            open++;
            ChannelFuture connecting = bootstrap.clone().handler(this).connect(endpoint.address);
            channel = connecting.channel();
            channel.closeFuture().addListener(closed -> open--);
            connecting.addListener(
                    connected -> {
                        // Meanwhile the attempt may have been given up, or nothing new may go there
                        // any more.
                        if (connected.isSuccess()
                                && first.ending != null
                                && clock.now() <= first.notAfter
                                && generation == endpoint.generation
                                && !endpoint.drains
                                && !barred.contains(endpoint.id)) {
                            send(first);
                        } else {
                            ReferenceCountUtil.release(first.request);
                            close();
                            lost();
                        }
                    });
        }

        @Override
        public void channelRegistered(ChannelHandlerContext ctx) {
            ctx.pipeline().addBefore(ctx.name(), null, new HttpRequestEncoder());
            ctx.pipeline().addBefore(ctx.name(), null, new Arrivals());
            ctx.pipeline().addBefore(ctx.name(), null, decoder);
            ctx.fireChannelRegistered();
        }

        void write(Attempt next) {
            endpoint.idle.remove(this);
            idle.remove(this);
            attempt = next;
            next.connection = this;
            send(next);
        }

        private void send(Attempt sent) {
            ChannelFuture writing = channel.writeAndFlush(sent.request);
            if (sent.upload == null) {
                lastByteGoes(writing, sent);
            } else {
                sent.upload.attach(this);
            }
        }

        private void lastByteGoes(ChannelFuture writing, Attempt sent) {
            writing.addListener(
                    written -> {
                        sent.written = written.isSuccess();
                        closeIfFailed(written);
                    });
        }

        /** The library has closed it then, and what had come by that time is no whole answer. */
        private void closeIfFailed(Future<?> written) {
            if (!written.isSuccess()) {
                close();
            }
        }

        @Override
        public void part(ByteBuf data) {
            RelayedBody upload = attempt.upload;
            channel.writeAndFlush(new DefaultHttpContent(data)).addListener(this::closeIfFailed);
            upload.wants(channel.isWritable());
        }

        @Override
        public void end() {
            if (clock.now() > attempt.notAfter) {
                close();
            } else {
                lastByteGoes(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), attempt);
            }
        }

        @Override
        public void broken() {
            close();
        }

        /** Whether it is as it was left, with nothing more come and no end. */
        private boolean isQuiet() {
            if (!reading) {
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
            }
            return channel.isActive() && !failed;
        }

        /**
         * Sees what comes before it is read: the beginning of an answer alone would show nowhere
         * else.
         */
        private final class Arrivals extends ChannelInboundHandlerAdapter {

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                if (attempt == null || failed) {
                    // Nobody has asked for this, or what came before cannot be read: it is out of
                    // step.
                    ReferenceCountUtil.release(bytes);
                    Connection.this.close();
                } else {
                    reading = true;
                    ctx.fireChannelRead(bytes);
                }
            }

            @Override
            public void channelReadComplete(ChannelHandlerContext ctx) {
                reading = false;
                ctx.fireChannelReadComplete();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (attempt != null && attempt.upload != null && !attempt.written) {
                attempt.upload.wants(channel.isWritable());
            }
        }

        private void leave(Attempt left) {
            if (left.upload != null) {
                left.upload.detach(this);
            }
        }

        void close() {
            failed = true;
            endpoint.idle.remove(this);
            idle.remove(this);
            channel.close();
        }

        /**
         * The connection is no more; the attempt on it ends by whether its last byte was written.
         */
        private void lost() {
            endpoint.idle.remove(this);
            idle.remove(this);
            dropBody();
            Attempt ended = attempt;
            attempt = null;
            if (ended != null) {
                leave(ended);
                ended.end(
                        ended.written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
            }
        }

        private void dropBody() {
            if (download != null) {
                download.fail();
                download = null;
            }
            body = null;
            head = null;
        }

        /**
         * Comes after the last of what was read, which may be an answer that the connection's end
         * ends.
         */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (attempt == null || failed) {
                    // Nobody has asked for this, or what came before cannot be read: it is out of
                    // step.
                    close();
                    return;
                }
                if (message instanceof HttpResponse response) {
                    head = response;
                    body = Unpooled.buffer();
                    // An endpoint begins a request when its last byte has come: before, it served
                    // nothing.
                    boolean early = response.status().code() == 200 && !attempt.written;
                    if (early
                            || response.decoderResult().isFailure()
                            || isCoded(response)
                            || HttpUtil.getContentLength(response, 0L) > RelayedBody.MOST) {
                        complaints.log(
                                "unreadable answer",
                                early
                                        ? "it came before all of its request"
                                        : response.decoderResult());
                        close();
                        return;
                    }
                }
                if (head != null && message instanceof HttpContent content) {
                    take(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        /**
         * Whether the body is coded beyond the framing, which would have to be undone to pass it
         * on.
         */
        private static boolean isCoded(HttpResponse response) {
            return response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                    .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
        }

        private void take(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            if (content.decoderResult().isFailure() || last && failed) {
                complaints.log("answer cut off", content.decoderResult());
                close();
                return;
            }
            if (download != null) {
                if (content.content().isReadable()) {
                    download.add(content.content());
                }
            } else {
                body.writeBytes(content.content());
            }
            int status = head.status().code();
            if (!last) {
                takeLarge(status);
            } else if (status < 200) {
                dropBody();
            } else if (HttpUtil.isKeepAlive(head)
                    && !HttpUtil.isContentLengthSet(head)
                    && !HttpUtil.isTransferEncodingChunked(head)) {
                // Only an answer that says so may be ended by its connection's end.
                complaints.log("answer without an end of its own", status);
                close();
            } else {
                answered(status);
            }
        }

        private void takeLarge(int status) {
            long length = HttpUtil.getContentLength(head, -1L);
            boolean large =
                    body != null
                            && (body.readableBytes() > RelayedBody.WHOLE
                                    || length > RelayedBody.WHOLE && body.isReadable());
            if (large && status == 200) {
                download =
                        new RelayedBody(
                                clock, wanted -> channel.config().setAutoRead(wanted), body);
                body = null;
                attempt.start(
                        new Answer(
                                head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                                null,
                                download,
                                length));
            } else if (large) {
                // What it says is of no use, only how it ended; the rest need not come.
                answered(status);
            }
        }

        private void answered(int status) {
            boolean notRun = "1".equals(head.headers().get("X-Not-Run"));
            AttemptOutcome outcome =
                    status == 200
                            ? AttemptOutcome.OK
                            : (status == 503 || status == 504) && notRun
                                    ? AttemptOutcome.QUEUE_FULL
                                    : AttemptOutcome.FAILED;
            Answer answer =
                    outcome != AttemptOutcome.OK || download != null
                            ? null
                            : new Answer(
                                    head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                                    ByteBufUtil.getBytes(body),
                                    null,
                                    0);
            boolean kept =
                    HttpUtil.isKeepAlive(head)
                            && attempt.written
                            && channel.isActive()
                            && !decoder.holdsMore()
                            && generation == endpoint.generation
                            && (body == null || body.readableBytes() <= RelayedBody.WHOLE);
            RelayedBody passed = download;
            download = null;
            dropBody();
            Attempt ended = attempt;
            attempt = null;
            leave(ended);
            channel.config().setAutoRead(true);
            if (passed != null) {
                passed.end();
            }
            // First the connection, then the word: what it leads to may need the connection.
            if (kept) {
                idleSince = clock.now();
                endpoint.idle.addLast(this);
                idle.add(this);
            } else {
                channel.close();
            }
            ended.end(outcome, answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset is an everyday end of an attempt and told as such; the rest the operators
            // should see.
            if (!(cause instanceof java.io.IOException)) {
                complaints.bug("connection to an endpoint", cause);
            }
            failed = true;
            close();
        }
    }
}
