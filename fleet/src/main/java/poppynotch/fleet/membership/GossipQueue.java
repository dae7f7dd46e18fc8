package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** News to be told on, each so many times; what was told least goes first (SWIM, section 4.1). */
final class GossipQueue {

    private static final class QueuedUpdate {
        MemberUpdate update;
        int transmissions;
        long sequence;
    }

    private static final Comparator<QueuedUpdate> LEAST_TRANSMITTED_THEN_NEWEST =
            Comparator.<QueuedUpdate>comparingInt(each -> each.transmissions)
                    .thenComparing(
                            Comparator.comparingLong((QueuedUpdate each) -> each.sequence)
                                    .reversed());

    private final Map<String, QueuedUpdate> updatesByMember = new HashMap<>();
    private final double retransmitMultiplier;
    private long nextSequence;

    GossipQueue(double spread) {
        this.retransmitMultiplier = spread;
    }

    /** Has it told on; what was to be told of the same member before is out of date. */
    void enqueue(MemberUpdate update) {
        QueuedUpdate rumour = new QueuedUpdate();
        rumour.update = update.forGossip();
        rumour.sequence = nextSequence++;
        updatesByMember.put(update.name(), rumour);
    }

    void remove(String name) {
        updatesByMember.remove(name);
    }

    boolean isEmpty() {
        return updatesByMember.isEmpty();
    }

    /**
     * What the next message takes along.
     *
     * @param bytes how much there is room for
     * @param members the fleet's size, which says how often each is told
     * @param but nothing about this member, as the message has it already; or null
     */
    List<MemberUpdate> takeForMessage(int bytes, int members, String but) {
        if (updatesByMember.isEmpty()) {
            return new ArrayList<>();
        }
        int most = (int) Math.ceil(retransmitMultiplier * Math.log10(members + 9));
        List<QueuedUpdate> waiting = new ArrayList<>(updatesByMember.values());
        waiting.sort(LEAST_TRANSMITTED_THEN_NEWEST);
        List<MemberUpdate> chosen = new ArrayList<>();
        int room = bytes;
        for (QueuedUpdate rumour : waiting) {
            int weight = rumour.update.maxEncodedBytes();
            if (weight > room || rumour.update.name().equals(but)) {
                continue;
            }
            room -= weight;
            chosen.add(rumour.update);
            if (++rumour.transmissions >= most) {
                updatesByMember.remove(rumour.update.name());
            }
        }
        return chosen;
    }
}
