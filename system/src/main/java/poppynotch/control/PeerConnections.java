package poppynotch.control;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import poppynotch.settings.HostPort;
import poppynotch.wire.Message;
import poppynotch.wire.RecordChannel;

/**
 * The connections of this core process to the others: one to each, on which it sends. Heartbeats
 * whose echo does not come close a connection, so that what a cut holds up does not outlast it.
 * Owned by the event loop.
 */
final class PeerConnections implements PeerNetwork {

    private static final int CONNECT_MS = 500;
    private static final long RECONNECT_MS = 250;

    /** A connection without an echo for so long is given up. */
    private static final long SILENCE_MS = 900;

    /** A core process that was named by no one for so long is forgotten. */
    private static final long FORGET_MS = 30_000;

    /** Heartbeats whose echo is still waited for. */
    private static final int MOST_UNECHOED = 64;

    private final class Link {
        final HostPort peer;
        Channel channel;
        boolean connecting;
        long nextTryMs;
        long aliveMs;
        long namedMs;

        Link(HostPort peer) {
            this.peer = peer;
        }

        void connect(long nowMs) {
            connecting = true;
            nextTryMs = nowMs + RECONNECT_MS;
            ChannelFuture future =
                    bootstrap.clone().connect(peer.withPort(peerPort).socketAddress());
            future.addListener(
                    done -> {
                        connecting = false;
                        if (done.isSuccess()) {
                            channel = future.channel();
                            aliveMs = clock.getAsLong();
                            RecordChannel.send(channel, new Message.Hello(self, incarnation));
                            channel.closeFuture().addListener(closed -> channel = null);
                        }
                    });
        }

        void send(Message message) {
            if (channel != null && channel.isActive()) {
                RecordChannel.send(channel, message);
            }
        }
    }

    private final String self;
    private final long incarnation;
    private final int peerPort;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private final Map<String, Link> links = new HashMap<>();
    private final QuorumContact contact;
    private final Map<Long, Long> sentMs = new LinkedHashMap<>();
    private long sequence;

    PeerConnections(
            EventLoop loop,
            String self,
            long incarnation,
            int peerPort,
            LongSupplier clock,
            QuorumContact contact) {
        this.self = self;
        this.incarnation = incarnation;
        this.peerPort = peerPort;
        this.clock = clock;
        this.contact = contact;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        RecordChannel.install(
                                                channel.pipeline(), (from, message) -> {});
                                    }
                                });
    }

    @Override
    public void know(String address, long nowMs) {
        if (!address.equals(self)) {
            links.computeIfAbsent(address, key -> new Link(HostPort.parse(key))).namedMs = nowMs;
        }
    }

    @Override
    public List<String> known() {
        TreeSet<String> all = new TreeSet<>(links.keySet());
        all.add(self);
        return new ArrayList<>(all);
    }

    @Override
    public List<String> inContact(long nowMs, long withinMs) {
        return known().stream().filter(peer -> contact.ageMs(nowMs, peer) <= withinMs).toList();
    }

    @Override
    public void send(String peer, Message message) {
        Link link = links.get(peer);
        if (link != null) {
            link.send(message);
        }
    }

    @Override
    public void sendToAll(Message message) {
        links.values().forEach(link -> link.send(message));
    }

    @Override
    public long nextBeat(long nowMs) {
        sentMs.put(++sequence, nowMs);
        if (sentMs.size() > MOST_UNECHOED) {
            sentMs.remove(sentMs.keySet().iterator().next());
        }
        return sequence;
    }

    @Override
    public long echoed(String peer, long beat) {
        Long sent = sentMs.get(beat);
        Link link = links.get(peer);
        if (sent == null || link == null) {
            return -1;
        }
        link.aliveMs = clock.getAsLong();
        return sent;
    }

    @Override
    public void tick(long nowMs) {
        links.values().removeIf(link -> link.channel == null && nowMs - link.namedMs > FORGET_MS);
        for (Link link : links.values()) {
            if (link.channel != null && nowMs - link.aliveMs > SILENCE_MS) {
                link.channel.close();
                link.channel = null;
            }
            if (link.channel == null && !link.connecting && nowMs >= link.nextTryMs) {
                link.connect(nowMs);
            }
        }
    }
}
