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
final class PromptGossip {

    /** Datagrams longer than this are not sent: networks would cut them in pieces. */
    private static final int MOST_BYTES = 1400;

    private final HostPort own;
    private final Consumer<Message.PromptSent> receiver;
    private final PromptGossipRate rate = new PromptGossipRate();
    private Channel channel;

    /** All other edges, in the order of their addresses from this one on. */
    private List<InetSocketAddress> ring = List.of();

    PromptGossip(HostPort own, Consumer<Message.PromptSent> receiver) {
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
        ring =
                ring(own.toString(), addresses).stream()
                        .map(address -> HostPort.parse(address).socketAddress())
                        .toList();
    }

    /**
     * The other edges in the order of their addresses, those that follow first: where each tells
     * the first few of its ring, all hear of equally many.
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
     * The part of the others' prompts that this edge hears of, if they tell as many as it does; 1
     * where there are no others.
     */
    double heardPart(long nowMs) {
        return ring.isEmpty() ? 1 : rate.peers(nowMs, ring.size()) / (double) ring.size();
    }

    void send(long nowMs, Message.PromptSent sent) {
        byte[] record = MessageCodec.encode(sent);
        if (record.length > MOST_BYTES) {
            return;
        }
        rate.count(nowMs);
        for (InetSocketAddress peer : ring.subList(0, rate.peers(nowMs, ring.size()))) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(record), peer));
        }
        channel.flush();
    }
}
