package poppynotch.balancer;

import java.util.Comparator;

/**
 * The order in which calls take slots: by rank plus the penalties for slots in other zones and for
 * slots without a connection.
 */
final class SlotOrder implements Comparator<Slot> {

    private final LocalityRouting locality;
    private final ConnectionFailureTracker connectionFailures;

    SlotOrder(LocalityRouting locality, ConnectionFailureTracker connectionFailures) {
        this.locality = locality;
        this.connectionFailures = connectionFailures;
    }

    @Override
    public int compare(Slot a, Slot b) {
        int order = Double.compare(orderRank(a), orderRank(b));
        return order != 0 ? order : Slot.BY_RANK.compare(a, b);
    }

    private double orderRank(Slot slot) {
        if (slot.server.nextCallDue) {
            return slot.rank;
        }
        return slot.rank + locality.rankPenalty(slot.server) + connectionFailures.rankPenalty(slot);
    }

    /** The first of two slots; either may be null, and the first of equals is taken. */
    Slot first(Slot a, Slot b) {
        if (a == null) {
            return b;
        }
        return b != null && compare(b, a) < 0 ? b : a;
    }
}
