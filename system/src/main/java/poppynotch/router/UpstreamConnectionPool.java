package poppynotch.router;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import poppynotch.settings.HostPort;
import poppynotch.transport.StrictResponseDecoder;

/**
 * Connections to servers: one request at a time on each, kept for the next one. Owned by the event
 * loop.
 */
final class UpstreamConnectionPool {

    private static final int CONNECT_MS = 400;

    /**
     * An idle connection is used only for a part of the time after which the server may close it:
     * what is sent as the server closes is reset, and may have run.
     */
    private static final double IDLE_PART = 0.85;

    private static final long DEFAULT_IDLE_MS = 4000;

    /** A request on its way. */
    interface Sending {
        /** Stops it and closes its connection; true if it may have run. */
        boolean cancel();

        /** Whether more of the answer is to be read. */
        void read(boolean wanted);
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private final IdleConnectionPolicy idleTrust = new IdleConnectionPolicy();
    private final Map<String, Deque<Connection>> idle = new HashMap<>();

    UpstreamConnectionPool(EventLoop loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
    }

    /**
     * Sends a request, which is the connection's from now on. Nothing is told before this returns.
     */
    Sending send(
            String serverId, String address, FullHttpRequest request, UpstreamListener listener) {
        Connection connection = takeIdle(serverId);
        if (connection == null) {
            connection = new Connection(serverId);
            connection.begin(request, listener);
            connection.connect(address);
        } else {
            connection.restedMs = clock.getAsLong() - connection.idleSinceMs;
            connection.begin(request, listener);
            connection.write();
        }
        return connection;
    }

    /** Whether an idle connection to a server is kept that the next request can have. */
    boolean isKept(String serverId) {
        Deque<Connection> kept = idle.get(serverId);
        return kept != null && !kept.isEmpty() && isUsable(kept.peekLast(), clock.getAsLong());
    }

    private boolean isUsable(Connection connection, long now) {
        return now - connection.idleSinceMs <= idleTrust.trustedMs(now)
                && now < connection.idleUntilMs
                && connection.channel.isActive()
                && !connection.decoder.holdsMore();
    }

    private Connection takeIdle(String serverId) {
        Deque<Connection> kept = idle.get(serverId);
        long now = clock.getAsLong();
        while (kept != null && !kept.isEmpty()) {
            Connection last = kept.pollLast();
            if (isUsable(last, now)) {
                return last;
            }
            last.channel.close();
        }
        return null;
    }

    /** Closes idle connections to servers other than these, and those that were idle for long. */
    void keepOnly(Set<String> serverIds) {
        long now = clock.getAsLong();
        idle.entrySet()
                .removeIf(
                        entry -> {
                            boolean keep = serverIds.contains(entry.getKey());
                            for (Connection connection : List.copyOf(entry.getValue())) {
                                if (!keep || now >= connection.idleUntilMs) {
                                    entry.getValue().remove(connection);
                                    connection.channel.close();
                                }
                            }
                            return entry.getValue().isEmpty();
                        });
    }

    private final class Connection extends ChannelInboundHandlerAdapter implements Sending {
        private final String serverId;
        private final StrictResponseDecoder decoder = new StrictResponseDecoder();
        private Channel channel;
        private FullHttpRequest request;
        private UpstreamListener listener;
        private String attemptId;

        /** Some of the request has been handed to the network: it may run. */
        private boolean written;

        private HttpResponse head;

        /** What comes belongs to an earlier request. */
        private boolean surplus;

        private long idleSinceMs;
        private long idleUntilMs;

        /** How long it was idle before the present request; -1 for its first. */
        private long restedMs = -1;

        private long keepMs = DEFAULT_IDLE_MS;

        /** The connection has ended in another way than by the server's orderly close. */
        private boolean reset;

        Connection(String serverId) {
            this.serverId = serverId;
        }

        void begin(FullHttpRequest next, UpstreamListener to) {
            request = next;
            listener = to;
            attemptId = next.headers().get(Headers.ATTEMPT_ID);
            written = false;
            head = null;
            surplus = false;
        }

        void connect(String address) {
            ChannelFuture connecting =
                    bootstrap
                            .clone()
                            .handler(this)
                            .connect(HostPort.parse(address).socketAddress());
            channel = connecting.channel();
            connecting.addListener(
                    done -> {
                        if (done.isSuccess() && listener != null) {
                            write();
                        } else {
                            release();
                            channel.close();
                            fail(UpstreamListener.Failure.NOT_SENT);
                        }
                    });
        }

        private void release() {
            if (request != null) {
                ReferenceCountUtil.release(request);
                request = null;
            }
        }

        @Override
        public void channelRegistered(ChannelHandlerContext ctx) {
            ctx.pipeline().addBefore(ctx.name(), null, new HttpRequestEncoder());
            ctx.pipeline().addBefore(ctx.name(), null, decoder);
            ctx.fireChannelRegistered();
        }

        void write() {
            FullHttpRequest sent = request;
            request = null;
            written = true;
            channel.config().setAutoRead(true);
            channel.writeAndFlush(sent)
                    .addListener(
                            done -> {
                                if (!done.isSuccess()) {
                                    channel.close();
                                }
                            });
        }

        @Override
        public boolean cancel() {
            listener = null;
            release();
            channel.close();
            return written;
        }

        @Override
        public void read(boolean wanted) {
            channel.config().setAutoRead(wanted);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (listener == null) {
                    // Nobody has asked for this.
                    ctx.close();
                    return;
                }
                if (message instanceof HttpResponse response) {
                    onHead(response);
                }
                if (message instanceof HttpContent content && head != null && listener != null) {
                    onContent(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void onHead(HttpResponse response) {
            if (response.decoderResult().isFailure()) {
                channel.close();
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            String id = response.headers().get(Headers.ATTEMPT_ID);
            if (id == null && attemptId != null) {
                // Servers echo the id always: whose answer this is can't be known.
                channel.close();
                return;
            }
            head = response;
            surplus = attemptId != null && !id.equals(attemptId);
            if (!surplus) {
                long seconds = Headers.keepAliveSeconds(response.headers());
                keepMs = seconds >= 0 ? (long) (seconds * 1000 * IDLE_PART) : keepMs;
                listener.head(response);
            }
        }

        private void onContent(HttpContent content) {
            if (content.decoderResult().isFailure()) {
                reset = true;
                channel.close();
                return;
            }
            ByteBuf data = content.content();
            if (!surplus && data.isReadable()) {
                listener.content(data);
            }
            if (!(content instanceof LastHttpContent)) {
                return;
            }
            HttpResponse ended = head;
            head = null;
            if (surplus) {
                surplus = false;
                return;
            }
            if (listener == null) {
                return;
            }
            UpstreamListener told = listener;
            boolean framed = Headers.isFramed(ended);
            // One that ends with its connection is whole if the server closed that in good order.
            boolean whole = framed || !reset;
            listener = null;
            if (framed
                    && HttpUtil.isKeepAlive(ended)
                    && !decoder.holdsMore()
                    && channel.isActive()) {
                keep();
            } else {
                channel.close();
            }
            if (whole) {
                told.end();
            } else {
                told.failed(UpstreamListener.Failure.BROKEN);
            }
        }

        private void keep() {
            idleSinceMs = clock.getAsLong();
            idleUntilMs = idleSinceMs + keepMs;
            if (keepMs > 0) {
                idle.computeIfAbsent(serverId, key -> new ArrayDeque<>()).addLast(this);
            } else {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Deque<Connection> kept = idle.get(serverId);
            if (kept != null) {
                kept.remove(this);
            }
            if (channel != null && channel.isOpen()) {
                channel.close();
            }
            if (listener != null && head == null && restedMs >= 0) {
                idleTrust.droppedAfter(clock.getAsLong(), restedMs);
            }
            fail(UpstreamListener.Failure.BROKEN);
        }

        private void fail(UpstreamListener.Failure failure) {
            UpstreamListener told = listener;
            listener = null;
            if (told != null) {
                loop.execute(() -> told.failed(failure));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset = true;
            ctx.close();
        }
    }
}
