package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of member updates that are piggybacked on outgoing messages. Each update is transmitted a
 * bounded number of times, which grows with the logarithm of the fleet's size; the updates that
 * were transmitted least often go first (SWIM, section 4.1).
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class GossipQueue {

    private static final class QueuedUpdate {
        final MemberUpdate update;
        final long sequence;
        int transmissions;

        QueuedUpdate(MemberUpdate update, long sequence) {
            this.update = update;
            this.sequence = sequence;
        }
    }

    private static final Comparator<QueuedUpdate> LEAST_TRANSMITTED_THEN_NEWEST =
            Comparator.<QueuedUpdate>comparingInt(queued -> queued.transmissions)
                    .thenComparing(
                            Comparator.comparingLong((QueuedUpdate queued) -> queued.sequence)
                                    .reversed());

    private final Map<String, QueuedUpdate> updatesByMember = new HashMap<>();
    private final double retransmitMultiplier;
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param retransmitMultiplier factor of the number of transmissions of an update, see {@link
     *     RetransmitLimit#transmissions}
     */
    GossipQueue(double retransmitMultiplier) {
        this.retransmitMultiplier = retransmitMultiplier;
    }

    /** Queues an update; it replaces an earlier one about the same member. */
    void enqueue(MemberUpdate update) {
        updatesByMember.put(update.name(), new QueuedUpdate(update.forGossip(), nextSequence));
        nextSequence++;
    }

    /** Removes the update about a member, if there is one. */
    void remove(String name) {
        updatesByMember.remove(name);
    }

    boolean isEmpty() {
        return updatesByMember.isEmpty();
    }

    /**
     * Returns the updates to piggyback on the next message, and counts them as transmitted. Updates
     * that have been transmitted often enough leave the queue.
     *
     * @param maxBytes maximum encoded size of the updates
     * @param memberCount size of the fleet
     * @param excludedMember member whose update the message contains already; or null
     */
    List<MemberUpdate> takeForMessage(int maxBytes, int memberCount, String excludedMember) {
        List<MemberUpdate> taken = new ArrayList<>();
        if (updatesByMember.isEmpty()) {
            return taken;
        }
        int maxTransmissions = RetransmitLimit.transmissions(retransmitMultiplier, memberCount);
        List<QueuedUpdate> candidates = new ArrayList<>(updatesByMember.values());
        candidates.sort(LEAST_TRANSMITTED_THEN_NEWEST);
        int remainingBytes = maxBytes;
        for (QueuedUpdate queued : candidates) {
            int encodedBytes = queued.update.maxEncodedBytes();
            if (encodedBytes > remainingBytes || queued.update.name().equals(excludedMember)) {
                continue;
            }
            remainingBytes -= encodedBytes;
            taken.add(queued.update);
            queued.transmissions++;
            if (queued.transmissions >= maxTransmissions) {
                updatesByMember.remove(queued.update.name());
            }
        }
        return taken;
    }
}
