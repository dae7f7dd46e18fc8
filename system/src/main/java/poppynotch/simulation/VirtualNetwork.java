package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Links between processes. Messages of one link keep their order. What a cut holds up comes when it
 * heals soon, as TCP sends it again; after that the connection has been given up, and it is lost.
 */
final class VirtualNetwork {

    /** A connection that is silent for so long is given up by both ends. */
    private static final long GIVEN_UP_MS = 900;

    private static final int MOST_DELAY_MS = 3;

    private record Link(String from, String to) {
        Link back() {
            return new Link(to, from);
        }
    }

    private static final class Block {
        int count;
        long sinceMs;
        final List<Runnable> heldUp = new ArrayList<>();
    }

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<Link, Block> blocks = new HashMap<>();
    private final Map<Link, Long> lastArrivalMs = new HashMap<>();

    VirtualNetwork(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    /** Stops what goes one way; as often as it was stopped it must be let go on. */
    void block(String from, String to) {
        Block block = blocks.computeIfAbsent(new Link(from, to), key -> new Block());
        if (block.count++ == 0) {
            block.sinceMs = time.getAsLong();
        }
    }

    void unblock(String from, String to) {
        Link link = new Link(from, to);
        Block block = blocks.get(link);
        if (--block.count == 0) {
            blocks.remove(link);
            if (time.getAsLong() - block.sinceMs < GIVEN_UP_MS) {
                block.heldUp.forEach(Runnable::run);
            }
        }
    }

    /** Whether a connection could be opened now. */
    boolean isOpen(String from, String to) {
        Link link = new Link(from, to);
        return !blocks.containsKey(link) && !blocks.containsKey(link.back());
    }

    /** Sends something; it runs as the receiver, in the life that the receiver has now. */
    void send(VirtualProcess from, VirtualProcess to, Runnable delivery) {
        Link link = new Link(from.name(), to.name());
        Block block = blocks.get(link);
        Block back = blocks.get(link.back());
        boolean givenUp = back != null && time.getAsLong() - back.sinceMs >= GIVEN_UP_MS;
        if (!to.isUp() || givenUp || to.isFrozenFor(GIVEN_UP_MS)) {
            return;
        }
        int toLife = to.life();
        if (block == null) {
            deliver(link, to, toLife, delivery);
        } else {
            block.heldUp.add(() -> deliver(link, to, toLife, delivery));
        }
    }

    private void deliver(Link link, VirtualProcess to, int toLife, Runnable delivery) {
        long at =
                Math.max(
                        lastArrivalMs.getOrDefault(link, 0L),
                        time.getAsLong() + 1 + random.nextInt(MOST_DELAY_MS));
        lastArrivalMs.put(link, at);
        time.at(
                at,
                () -> {
                    if (to.life() == toLife) {
                        to.run(delivery);
                    }
                });
    }
}
