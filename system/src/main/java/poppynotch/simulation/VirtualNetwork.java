package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The network between virtual processes. Messages of one link, which is one direction between two
 * processes, keep their order. Messages on a blocked link are delivered if it is unblocked before
 * the connections time out, as TCP retransmits them; otherwise they are lost.
 */
final class VirtualNetwork {

    /** Both ends close a connection on which no message arrives for this time. */
    private static final long CONNECTION_TIMEOUT_MS = 900;

    private static final int MAX_DELAY_MS = 3;

    private record Link(String from, String to) {
        Link reversed() {
            return new Link(to, from);
        }
    }

    private static final class BlockedLink {
        final long sinceMs;
        final List<Runnable> delayedDeliveries = new ArrayList<>();

        /** How many times it was blocked and not yet unblocked. */
        int blockCount;

        BlockedLink(long sinceMs) {
            this.sinceMs = sinceMs;
        }

        boolean hasTimedOut(long nowMs) {
            return nowMs - sinceMs >= CONNECTION_TIMEOUT_MS;
        }
    }

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<Link, BlockedLink> blockedLinks = new HashMap<>();
    private final Map<Link, Long> lastArrivalMs = new HashMap<>();

    VirtualNetwork(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    /** Blocks one direction; it is open again after as many calls of {@link #unblock}. */
    void block(String from, String to) {
        BlockedLink blocked =
                blockedLinks.computeIfAbsent(
                        new Link(from, to), link -> new BlockedLink(time.getAsLong()));
        blocked.blockCount++;
    }

    /** Reverts one call of {@link #block}. */
    void unblock(String from, String to) {
        Link link = new Link(from, to);
        BlockedLink blocked = blockedLinks.get(link);
        blocked.blockCount--;
        if (blocked.blockCount == 0) {
            blockedLinks.remove(link);
            if (!blocked.hasTimedOut(time.getAsLong())) {
                blocked.delayedDeliveries.forEach(Runnable::run);
            }
        }
    }

    /** Whether a connection could be opened now: neither direction is blocked. */
    boolean isOpen(String from, String to) {
        Link link = new Link(from, to);
        return !blockedLinks.containsKey(link) && !blockedLinks.containsKey(link.reversed());
    }

    /** Sends a message; {@code delivery} runs in the receiver unless its process has ended. */
    void send(VirtualProcess from, VirtualProcess to, Runnable delivery) {
        Link link = new Link(from.name(), to.name());
        BlockedLink blocked = blockedLinks.get(link);
        BlockedLink blockedReverse = blockedLinks.get(link.reversed());
        boolean timedOut = blockedReverse != null && blockedReverse.hasTimedOut(time.getAsLong());
        if (!to.isUp() || timedOut || to.isFrozenFor(CONNECTION_TIMEOUT_MS)) {
            return;
        }
        int receiverStartCount = to.startCount();
        if (blocked == null) {
            deliver(link, to, receiverStartCount, delivery);
        } else {
            blocked.delayedDeliveries.add(() -> deliver(link, to, receiverStartCount, delivery));
        }
    }

    private void deliver(Link link, VirtualProcess to, int receiverStartCount, Runnable delivery) {
        long arrivalMs =
                Math.max(
                        lastArrivalMs.getOrDefault(link, 0L),
                        time.getAsLong() + 1 + random.nextInt(MAX_DELAY_MS));
        lastArrivalMs.put(link, arrivalMs);
        time.at(
                arrivalMs,
                () -> {
                    if (to.startCount() == receiverStartCount) {
                        to.run(delivery);
                    }
                });
    }
}
