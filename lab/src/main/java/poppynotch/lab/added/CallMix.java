package poppynotch.lab.added;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Draws calls by a seed: two mixes of one seed ask for the same, with ids of their own, as each
 * request must have a new one. Not for use by several threads.
 */
final class CallMix {

    /** The class of calls that are safe to repeat. */
    static final String READ = "read";

    /** The class of calls that have a key. */
    static final String ORDER = "order";

    private static final double READ_PART = 0.7;

    /** No id comes twice in one run. */
    private static final AtomicLong IDS = new AtomicLong();

    /**
     * One call.
     *
     * @param key what makes a repetition known, or null where the call is safe to repeat
     */
    record Call(String id, String key) {

        /** A call that is safe to repeat. */
        static Call read() {
            return new Call(freshId(), null);
        }

        /** The same again, as a request of its own to a server further on. */
        Call onward() {
            return new Call(freshId(), key);
        }

        String kind() {
            return key == null ? READ : ORDER;
        }

        /** What it says beyond its head. */
        String body() {
            return key == null ? "" : "{\"for\":\"" + key + "\"}";
        }
    }

    private final SplittableRandom random;

    CallMix(long seed) {
        random = new SplittableRandom(seed);
    }

    private static String freshId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    Call next() {
        boolean read = random.nextDouble() < READ_PART;
        String key = String.format("%016x%016x", random.nextLong(), random.nextLong());
        return new Call(freshId(), read ? null : key);
    }
}
