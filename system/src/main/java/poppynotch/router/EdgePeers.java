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
import poppynotch.settings.HostPort;
import poppynotch.wire.Message;
import poppynotch.wire.MessageCodec;

/**
 * Datagrams between edges, which tell where prompts are read. A lost one costs a worse choice, no
 * more.
 */
final class EdgePeers {

    /** Datagrams longer than this are not sent: networks would cut them in pieces. */
    private static final int MOST_BYTES = 1400;

    /** Up to so many other edges are all told. */
    private static final int MOST_PEERS = 16;

    /**
     * Of more, those that follow in a ring of addresses: the cost of a prompt must not grow with
     * the fleet.
     */
    private static final int RING_PEERS = 12;

    private final HostPort own;
    private final Consumer<Message.PromptSent> receiver;
    private Channel channel;
    private List<InetSocketAddress> peers = List.of();

    EdgePeers(HostPort own, Consumer<Message.PromptSent> receiver) {
        this.own = own;
        this.receiver = receiver;
    }

    void listen(EventLoop loop) throws InterruptedException {
        channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new SimpleChannelInboundHandler<DatagramPacket>() {
                                    @Override
                                    protected void channelRead0(
                                            ChannelHandlerContext ctx, DatagramPacket packet) {
                                        received(ByteBufUtil.getBytes(packet.content()));
                                    }

                                    @Override
                                    public void exceptionCaught(
                                            ChannelHandlerContext ctx, Throwable cause) {
                                        // A peer that is down makes sending fail; what matters
                                        // comes by the control plane.
                                    }
                                })
                        .bind(own.socketAddress())
                        .sync()
                        .channel();
    }

    private void received(byte[] record) {
        try {
            if (MessageCodec.decode(record) instanceof Message.PromptSent sent) {
                receiver.accept(sent);
            }
        } catch (IOException e) {
            // Not one of ours.
        }
    }

    /** The addresses of all edges, this one included. */
    void know(List<String> addresses) {
        peers =
                told(own.toString(), addresses).stream()
                        .map(address -> HostPort.parse(address).socketAddress())
                        .toList();
    }

    /** Whether an edge hears of all prompts in a fleet of that size. */
    static boolean hearAll(int edges) {
        return edges - 1 <= MOST_PEERS;
    }

    /** The edges that one edge tells. */
    static List<String> told(String self, List<String> addresses) {
        List<String> ring =
                addresses.stream().filter(address -> !address.equals(self)).sorted().toList();
        if (ring.size() <= MOST_PEERS) {
            return ring;
        }
        int next = (int) ring.stream().filter(address -> address.compareTo(self) < 0).count();
        List<String> told = new ArrayList<>(RING_PEERS);
        for (int i = 0; i < RING_PEERS; i++) {
            told.add(ring.get((next + i) % ring.size()));
        }
        return told;
    }

    void send(Message.PromptSent sent) {
        byte[] record = MessageCodec.encode(sent);
        if (record.length <= MOST_BYTES) {
            for (InetSocketAddress peer : peers) {
                channel.write(new DatagramPacket(Unpooled.wrappedBuffer(record), peer));
            }
            channel.flush();
        }
    }
}
