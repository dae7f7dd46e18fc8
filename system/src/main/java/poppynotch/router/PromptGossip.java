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
 * Datagrams by which edges notify each other of the servers that read their prompts, so that all
 * estimate the same prefix caches and backlogs. A lost datagram only makes a choice of a server
 * worse. Owned by an {@link EdgeServer}; used on its event loop only, once it is bound.
 */
final class PromptGossip {

    /** Prompts with fewer uncached tokens are not published: they cost a server little. */
    private static final int MIN_PUBLISHED_TOKENS = 1000;

    /** Longer datagrams are not sent: networks would fragment them. */
    private static final int MAX_DATAGRAM_BYTES = 1400;

    private final HostPort ownAddress;
    private final Consumer<Message.PromptSent> receiver;
    private final PromptGossipRate rate = new PromptGossipRate();
    private Channel channel;

    /** All other edges, in the order of their addresses, starting behind this one's. */
    private List<InetSocketAddress> ring = List.of();

    /**
     * Gossip that is not bound to its address yet.
     *
     * @param ownAddress where datagrams are received
     * @param receiver called on the event loop for each prompt of another edge
     */
    PromptGossip(HostPort ownAddress, Consumer<Message.PromptSent> receiver) {
        this.ownAddress = ownAddress;
        this.receiver = receiver;
    }

    /**
     * Opens the datagram channel, which stays open until the event loop ends. Blocks; not called on
     * an event loop. A failed bind is thrown as it is.
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

    /** Decodes datagrams, which its superclass releases. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            try {
                Message message = MessageCodec.decode(ByteBufUtil.getBytes(packet.content()));
                if (message instanceof Message.PromptSent prompt) {
                    receiver.accept(prompt);
                }
            } catch (IOException e) {
                // Not a message of an edge.
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A peer that is down makes sending fail; what must arrive goes through the control
            // plane.
        }
    }

    /** Replaces the addresses of all edges, this one's included. */
    void updatePeers(List<String> addresses) {
        ring =
                ring(ownAddress.toString(), addresses).stream()
                        .map(address -> HostPort.parse(address).socketAddress())
                        .toList();
    }

    /**
     * The other edges in the order of their addresses, those that follow {@code self} first. Where
     * each edge sends to the first few of its ring, all edges receive from equally many.
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
     * The fraction of other edges' prompts that this one receives, if they publish as many as it
     * does; 1 where there are no others.
     */
    double receivedFraction(long nowMs) {
        return ring.isEmpty() ? 1 : rate.peerCount(nowMs, ring.size()) / (double) ring.size();
    }

    /** Publishes that a server is about to read the prompt of a slot's request. */
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
