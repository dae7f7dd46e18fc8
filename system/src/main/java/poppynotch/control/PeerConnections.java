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
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import poppynotch.settings.HostPort;
import poppynotch.wire.Message;
import poppynotch.wire.RecordChannel;

/**
 * The TCP connections of a control-plane replica to its peers: one to each, on which it only sends.
 * A connection is closed if heartbeats on it get no reply, so that messages that a network
 * partition has delayed are not delivered after it.
 *
 * <p>All methods are called on one event loop, on which the connections run as well.
 */
final class PeerConnections implements PeerNetwork {

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long RECONNECT_INTERVAL_MS = 250;

    /** A connection is closed if no reply to a heartbeat has arrived for this time. */
    private static final long REPLY_TIMEOUT_MS = 900;

    /** A peer without a connection is removed if it was not added again for this time. */
    private static final long PEER_RETENTION_MS = 30_000;

    /** The number of latest heartbeats whose send times are kept for their replies. */
    private static final int MAX_TRACKED_HEARTBEATS = 64;

    private static final long NOT_TRACKED = -1;

    /** The connection to one peer, which is reopened after it has closed. */
    private final class PeerConnection {
        private final HostPort peer;

        /** Null while there is no connection. */
        private Channel channel;

        private boolean connecting;
        private long nextConnectMs;

        /** When the connection was opened or a reply to a heartbeat last arrived. */
        private long lastReplyMs;

        /** When the settings or another replica last listed this peer. */
        private long lastListedMs;

        PeerConnection(HostPort peer) {
            this.peer = peer;
        }

        void connect(long nowMs) {
            connecting = true;
            nextConnectMs = nowMs + RECONNECT_INTERVAL_MS;
            ChannelFuture future =
                    bootstrap.clone().connect(peer.withPort(peerPort).socketAddress());
            future.addListener(
                    done -> {
                        connecting = false;
                        if (done.isSuccess()) {
                            onConnected(future.channel());
                        }
                    });
        }

        private void onConnected(Channel connected) {
            channel = connected;
            lastReplyMs = clock.getAsLong();
            RecordChannel.send(channel, new Message.Hello(self, incarnation));
            channel.closeFuture().addListener(closed -> channel = null);
            onPeerConnected.accept(peer.toString());
        }

        void send(Message message) {
            if (channel != null && channel.isActive()) {
                RecordChannel.send(channel, message);
            }
        }

        void tick(long nowMs) {
            if (channel != null && nowMs - lastReplyMs > REPLY_TIMEOUT_MS) {
                channel.close();
                channel = null;
            }
            if (channel == null && !connecting && nowMs >= nextConnectMs) {
                connect(nowMs);
            }
        }

        boolean isExpired(long nowMs) {
            return channel == null && nowMs - lastListedMs > PEER_RETENTION_MS;
        }
    }

    private final String self;
    private final long incarnation;
    private final int peerPort;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private final QuorumContact contact;
    private final Consumer<String> onPeerConnected;

    /** By the peer's control address. */
    private final Map<String, PeerConnection> connections = new HashMap<>();

    /** When each of the latest heartbeats was sent, by sequence number, oldest first. */
    private final Map<Long, Long> heartbeatSentMs = new LinkedHashMap<>();

    private long lastSequence;

    /**
     * Creates the connections of a replica that knows no peers yet.
     *
     * @param self this replica's control address
     * @param peerPort the port at which all replicas accept connections of their peers
     * @param clock a monotonic clock in milliseconds
     * @param onPeerConnected called with the address of a peer when a connection to it was opened,
     *     and before any other message than the hello is sent on it
     */
    PeerConnections(
            EventLoop loop,
            String self,
            long incarnation,
            int peerPort,
            LongSupplier clock,
            QuorumContact contact,
            Consumer<String> onPeerConnected) {
        this.self = self;
        this.incarnation = incarnation;
        this.peerPort = peerPort;
        this.clock = clock;
        this.contact = contact;
        this.onPeerConnected = onPeerConnected;
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        // Peers send on their own connections.
                                        RecordChannel.install(
                                                channel.pipeline(), (from, message) -> {});
                                    }
                                });
    }

    @Override
    public void addPeer(String address, long nowMs) {
        if (!address.equals(self)) {
            PeerConnection connection =
                    connections.computeIfAbsent(
                            address, key -> new PeerConnection(HostPort.parse(key)));
            connection.lastListedMs = nowMs;
        }
    }

    @Override
    public List<String> knownReplicas() {
        TreeSet<String> addresses = new TreeSet<>(connections.keySet());
        addresses.add(self);
        return new ArrayList<>(addresses);
    }

    @Override
    public List<String> reachableReplicas(long nowMs, long withinMs) {
        return knownReplicas().stream()
                .filter(peer -> contact.contactAgeMs(nowMs, peer) <= withinMs)
                .toList();
    }

    @Override
    public void send(String peer, Message message) {
        PeerConnection connection = connections.get(peer);
        if (connection != null) {
            connection.send(message);
        }
    }

    @Override
    public void sendToAll(Message message) {
        connections.values().forEach(connection -> connection.send(message));
    }

    @Override
    public long nextHeartbeatSequence(long nowMs) {
        lastSequence++;
        heartbeatSentMs.put(lastSequence, nowMs);
        if (heartbeatSentMs.size() > MAX_TRACKED_HEARTBEATS) {
            heartbeatSentMs.remove(heartbeatSentMs.keySet().iterator().next());
        }
        return lastSequence;
    }

    @Override
    public long onHeartbeatReply(String peer, long sequence) {
        Long sentMs = heartbeatSentMs.get(sequence);
        PeerConnection connection = connections.get(peer);
        if (sentMs == null || connection == null) {
            return NOT_TRACKED;
        }
        connection.lastReplyMs = clock.getAsLong();
        return sentMs;
    }

    @Override
    public void tick(long nowMs) {
        connections.values().removeIf(connection -> connection.isExpired(nowMs));
        connections.values().forEach(connection -> connection.tick(nowMs));
    }
}
