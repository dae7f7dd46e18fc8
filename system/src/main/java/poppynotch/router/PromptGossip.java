package poppynotch.router;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import poppynotch.pool.Slot;
import poppynotch.settings.HostPort;
import poppynotch.wire.Message;
import poppynotch.wire.MessageCodec;

/**
 * Informs other edges by datagram which servers prefill this edge's prompts, so that all edges
 * estimate the same prefix caches and backlogs. A lost datagram only makes a server selection less
 * accurate. Owned by an {@link EdgeServer}; used on its event loop only, once it is bound.
 */
final class PromptGossip {

    /** Prompts with fewer uncached tokens are not published, as they add little server load. */
    private static final int MIN_PUBLISHED_TOKENS = 1000;

    /** Longer datagrams are not sent, as networks would fragment them. */
    private static final int MAX_DATAGRAM_BYTES = 1400;

    private final HostPort ownAddress;
    private final Consumer<Message.PromptSent> receiver;
    private final PromptGossipRate rate = new PromptGossipRate();
    private Channel channel;

    /** All other edges ordered by address, starting with the successor of this edge. */
    private List<InetSocketAddress> ring = List.of();

    /**
     * Creates an instance that is not bound to its address yet.
     *
     * @param ownAddress the address that receives datagrams
     * @param receiver called on the event loop for each prompt that another edge publishes
     */
    PromptGossip(HostPort ownAddress, Consumer<Message.PromptSent> receiver) {
        this.ownAddress = ownAddress;
        this.receiver = receiver;
    }

    /**
     * Opens the datagram channel, which stays open until the event loop ends. Blocks, so it must
     * not be called on an event loop. Bind failures are rethrown unchanged.
     */
    void bind(EventLoop loop) throws InterruptedException {
        channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new DatagramHandler())
                        .bind(ownAddress.socketAddress())
                        .sync()
                        .channel();
    }

    /** Decodes datagrams; the superclass releases them. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            try {
                Message message = MessageCodec.decode(ByteBufUtil.getBytes(packet.content()));
                if (message instanceof Message.PromptSent prompt) {
                    receiver.accept(prompt);
                }
            } catch (IOException e) {
                // The datagram is not a message of an edge.
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Sending fails while a peer is down, and gossip may be lost. Reliable updates are sent
            // through the control plane.
        }
    }

    /** Replaces the addresses of all edges, which include this one. */
    void updatePeers(List<String> addresses) {
        ring =
                ring(ownAddress.toString(), addresses).stream()
                        .map(address -> HostPort.parse(address).socketAddress())
                        .toList();
    }

    /**
     * The other edges as a ring ordered by address, starting with the successor of {@code self}. If
     * each edge sends to the first edges of its ring, all edges receive from equally many.
     */
    static List<String> ring(String self, List<String> addresses) {
        List<String> others =
                addresses.stream().filter(address -> !address.equals(self)).sorted().toList();
        int next = (int) others.stream().filter(address -> address.compareTo(self) < 0).count();
        List<String> ring = new ArrayList<>(others.subList(next, others.size()));
        ring.addAll(others.subList(0, next));
        return ring;
    }

    /**
     * The fraction of other edges' prompts that this edge receives if all edges publish equally
     * many; 1 if there are no other edges.
     */
    double receivedFraction(long nowMs) {
        return ring.isEmpty() ? 1 : rate.peerCount(nowMs, ring.size()) / (double) ring.size();
    }

    /** Publishes that a server is about to prefill the prompt of a slot's request. */
    void publish(long nowMs, String backend, Slot slot) {
        if (slot.uncachedTokens() < MIN_PUBLISHED_TOKENS) {
            return;
        }
        byte[] datagram =
                MessageCodec.encode(
                        new Message.PromptSent(
                                slot.serverId(),
                                backend,
                                slot.uncachedTokens(),
                                slot.promptParts()));
        if (datagram.length > MAX_DATAGRAM_BYTES) {
            return;
        }
        rate.onPublish(nowMs);
        for (InetSocketAddress peer : ring.subList(0, rate.peerCount(nowMs, ring.size()))) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), peer));
        }
        channel.flush();
    }
}
