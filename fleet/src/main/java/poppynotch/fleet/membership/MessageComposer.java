package poppynotch.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Composes outgoing messages, with queued updates piggybacked on each and shared state on
 * acknowledgements, and sends them through the {@link MembershipHost}.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class MessageComposer implements Prober.Sender, AntiEntropy.Sender {

    private final LocalMember localMember;
    private final MemberTable table;
    private final GossipQueue gossipQueue;
    private final ProtocolState state;
    private final PiggybackPayload payload;
    private final MembershipHost host;
    private double nowMs;

    MessageComposer(ProtocolState state, PiggybackPayload payload, MembershipHost host) {
        this.state = state;
        localMember = state.localMember();
        table = state.table();
        gossipQueue = state.gossipQueue();
        this.payload = payload;
        this.host = host;
    }

    /** Sets the current time, which applies to the following messages. */
    void setNow(double now) {
        nowMs = now;
    }

    @Override
    public void send(
            Message.Kind kind,
            String to,
            String address,
            long sequence,
            String target,
            String targetAddress) {
        Recipient recipient = new Recipient(to, address);
        send(kind, recipient, sequence, target, targetAddress, Message.EMPTY_PAYLOAD);
    }

    /** Probes a member outside of the prober's rounds, without tracking the acknowledgement. */
    @Override
    public void ping(MemberUpdate target) {
        send(Message.Kind.PING, target.name(), target.address(), 0, target.name(), "");
    }

    /** Sends a question to a member. */
    void sendQuestion(MemberUpdate member, long sequence, ByteBuffer question) {
        Recipient recipient = new Recipient(member.name(), member.address());
        send(Message.Kind.QUESTION, recipient, sequence, member.name(), "", question);
    }

    /** Sends the answer to a question. */
    void sendAnswer(String member, String address, long sequence, ByteBuffer answer) {
        Recipient recipient = new Recipient(member, address);
        send(Message.Kind.ANSWER, recipient, sequence, "", "", answer);
    }

    /** Sends a message of a table exchange, over a connection; no updates are piggybacked. */
    @Override
    public void send(
            Message.Kind kind, String address, List<Long> buckets, List<MemberUpdate> updates) {
        host.send(
                address,
                new Message(
                        kind,
                        localMember.name,
                        localMember.address,
                        localMember.run,
                        0,
                        "",
                        "",
                        table.viewDigest(),
                        buckets,
                        updates),
                true);
    }

    /** Sends queued updates to random members that are present, while there are any updates. */
    void gossip(int fanout) {
        if (gossipQueue.isEmpty() || localMember.successor() != null) {
            return;
        }
        List<MemberUpdate> candidates = table.presentMembersExcept(localMember.name);
        for (int i = 0; i < fanout && !candidates.isEmpty() && !gossipQueue.isEmpty(); i++) {
            MemberUpdate to = candidates.remove(state.random().nextInt(candidates.size()));
            send(Message.Kind.GOSSIP, to.name(), to.address(), 0, "", "");
        }
    }

    private record Recipient(String name, String address) {}

    private void send(
            Message.Kind kind,
            Recipient to,
            long sequence,
            String target,
            String targetAddress,
            ByteBuffer content) {
        List<MemberUpdate> updates =
                takeUpdates(to.name(), Membership.MAX_DATAGRAM_CONTENT_BYTES - content.remaining());
        host.send(
                to.address(),
                new Message(
                        kind,
                        localMember.name,
                        localMember.address,
                        localMember.run,
                        sequence,
                        target,
                        targetAddress,
                        table.viewDigest(),
                        List.of(),
                        updates,
                        kind == Message.Kind.ACK && localMember.successor() == null
                                ? nextPayload(updates)
                                : content),
                content.remaining() > Membership.MAX_DATAGRAM_CONTENT_BYTES);
    }

    private List<MemberUpdate> takeUpdates(String to, int maxBytes) {
        List<MemberUpdate> updates = new ArrayList<>();
        int remainingBytes = maxBytes;
        MemberTable.Entry entry = table.get(to);
        boolean isLocalName = to.equals(localMember.name);
        if (entry != null && !isLocalName && entry.update.state() != MemberState.ALIVE) {
            // Informs a receiver that is suspected or declared dead, so that it can refute that.
            MemberUpdate updateAboutReceiver = entry.update.forGossip();
            updates.add(updateAboutReceiver);
            remainingBytes -= updateAboutReceiver.maxEncodedBytes();
        }
        if (localMember.successor() == null) {
            String excludedMember = updates.isEmpty() ? null : to;
            updates.addAll(
                    gossipQueue.takeForMessage(
                            remainingBytes, table.presentCount(), excludedMember));
        }
        return updates;
    }

    private ByteBuffer nextPayload(List<MemberUpdate> updates) {
        int updateBytes = updates.stream().mapToInt(MemberUpdate::maxEncodedBytes).sum();
        int remainingBytes = Membership.MAX_DATAGRAM_CONTENT_BYTES - updateBytes;
        return payload.nextPayload(nowMs, remainingBytes, table.presentCount());
    }
}
