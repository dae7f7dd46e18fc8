package poppynotch.balancer;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The bounded pool of slots that this balancer uses. Each server has at most one spare, the lowest
 * of its slots outside the pool, and the pool grows by the first spare. A discarded slot is never
 * used again; its server's next spare takes its number.
 */
final class SlotPool {

    /** The maximum size of a pool, independent of the size of the fleet. */
    static final int MAX_SLOTS = 256;

    /** The minimum target size: a call and its retries always find a slot. */
    private static final int MIN_SLOTS = 4;

    /**
     * The target size as a multiple of the recent peak of calls in flight, to be ready for more.
     */
    private static final double HEADROOM = 1.25;

    /** Maximum of pooled slots per server: less than the width of the {@code pooledSlots} mask. */
    private static final int MAX_SLOTS_PER_SERVER = 62;

    private final BalancerActions host;
    private final SlotOrder order;
    private final ServerRanking ranking;
    private final SlowStart slowStart;
    private final LocalityRouting locality;
    private final List<Slot> slots = new ArrayList<>();

    /** The spares by rank: of servers in the own zone and in all others. */
    private final TreeSet<Slot> ownZoneSpares = new TreeSet<>(Slot.BY_RANK);

    private final TreeSet<Slot> otherZoneSpares = new TreeSet<>(Slot.BY_RANK);

    SlotPool(
            BalancerActions host,
            SlotOrder order,
            ServerRanking ranking,
            SlowStart slowStart,
            LocalityRouting locality) {
        this.host = host;
        this.order = order;
        this.ranking = ranking;
        this.slowStart = slowStart;
        this.locality = locality;
    }

    /** The target size of a pool after a peak of calls in flight. */
    static double targetSize(double peakCalls) {
        return Math.min(MAX_SLOTS, Math.max(MIN_SLOTS, Math.ceil(peakCalls * HEADROOM)));
    }

    /**
     * The first free slot of the pool that may be used, else the first such spare while the pool
     * may grow; null if there is none.
     */
    Slot findFirst(Predicate<Slot> mayUse) {
        Slot best = null;
        for (Slot slot : slots) {
            if (!slot.busy
                    && (best == null || order.compare(slot, best) < 0)
                    && mayUse.test(slot)) {
                best = slot;
            }
        }
        if (best != null || slots.size() >= MAX_SLOTS) {
            return best;
        }
        return order.first(firstMatch(ownZoneSpares, mayUse), firstMatch(otherZoneSpares, mayUse));
    }

    private static Slot firstMatch(NavigableSet<Slot> spares, Predicate<Slot> mayUse) {
        return spares.stream().filter(mayUse).findFirst().orElse(null);
    }

    private Slot firstSpare() {
        return order.first(
                ownZoneSpares.isEmpty() ? null : ownZoneSpares.first(),
                otherZoneSpares.isEmpty() ? null : otherZoneSpares.first());
    }

    private NavigableSet<Slot> sparesFor(TrackedServer server) {
        return locality.isInOtherZone(server) ? otherZoneSpares : ownZoneSpares;
    }

    List<Slot> slotsOf(TrackedServer server) {
        return slots.stream().filter(slot -> slot.server == server).toList();
    }

    /** Adopts a spare into the pool and offers the server's next one. */
    void adopt(double nowMs, Slot slot) {
        TrackedServer server = slot.server;
        sparesFor(server).remove(slot);
        server.spare = null;
        server.pooledSlots |= 1L << slot.number;
        slots.add(slot);
        offerSpare(nowMs, server);
    }

    /** Removes a slot from the pool; with the server's last one its idle connections are closed. */
    void discard(Slot slot) {
        if (slot.discarded) {
            return;
        }
        slot.discarded = true;
        slots.remove(slot);
        slot.server.pooledSlots &= ~(1L << slot.number);
        if (slot.server.pooledSlots == 0 && slot.server.inFlight == 0) {
            host.closeIdleConnections(slot.server.id);
        }
    }

    void discardAllOf(TrackedServer server) {
        slotsOf(server).forEach(this::discard);
    }

    void discardAllButLastOf(TrackedServer server) {
        List<Slot> all = slotsOf(server);
        all.subList(0, Math.max(0, all.size() - 1)).forEach(this::discard);
    }

    /** Offers the server's lowest slot outside the pool as its spare, if it may have one more. */
    void offerSpare(double nowMs, TrackedServer server) {
        if (server.spare != null) {
            sparesFor(server).remove(server.spare);
            server.spare = null;
        }
        if (!mayHaveSpare(nowMs, server)) {
            return;
        }
        Slot slot = new Slot(server, Long.numberOfTrailingZeros(~server.pooledSlots));
        slot.rank = ranking.rank(slot);
        if (!slowStart.admits(nowMs, slot)) {
            return;
        }
        server.spare = slot;
        sparesFor(server).add(slot);
    }

    private static boolean mayHaveSpare(double nowMs, TrackedServer server) {
        int maxSlots = server.onProbation ? 1 : MAX_SLOTS_PER_SERVER;
        return server.isReady()
                && !server.isPaused(nowMs)
                && Long.bitCount(server.pooledSlots) < maxSlots
                && !(server.onProbation && server.inFlight > 0);
    }

    /** Recomputes the ranks of all slots of the pool. */
    void updateRanks() {
        slots.forEach(slot -> slot.rank = ranking.rank(slot));
    }

    /** Recomputes the ranks of a server's slots in the pool, and of its spare. */
    void updateRanksOf(double nowMs, TrackedServer server) {
        if (server.pooledSlots != 0) {
            slotsOf(server).forEach(slot -> slot.rank = ranking.rank(slot));
        }
        offerSpare(nowMs, server);
    }

    /**
     * Brings the pool to a size, and replaces free slots by spares that precede them in the order.
     */
    void refill(double nowMs, double size) {
        while (slots.size() < size && firstSpare() != null) {
            adopt(nowMs, firstSpare());
        }
        for (Slot last = lastFree(); last != null; last = lastFree()) {
            boolean surplus = slots.size() > size;
            if (!surplus && (firstSpare() == null || order.compare(firstSpare(), last) >= 0)) {
                return;
            }
            discard(last);
            offerSpare(nowMs, last.server);
            if (!surplus) {
                adopt(nowMs, firstSpare());
            }
        }
    }

    private Slot lastFree() {
        return slots.stream().filter(slot -> !slot.busy).max(order).orElse(null);
    }
}
