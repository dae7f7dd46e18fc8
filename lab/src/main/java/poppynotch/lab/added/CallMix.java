package poppynotch.lab.added;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates the calls of a block from a seed. Two mixes of the same seed generate the same calls
 * with distinct ids, as each request must have a new one. Not thread-safe.
 */
final class CallMix {

    /** The class of idempotent calls. */
    static final String READ = "read";

    /** The class of calls that have an idempotency key. */
    static final String ORDER = "order";

    private static final double READ_FRACTION = 0.7;

    /** Ids are unique in one run of the program. */
    private static final AtomicLong IDS = new AtomicLong();

    /**
     * One call.
     *
     * @param id of the request
     * @param key by which a server recognises a retry, or null where the call is idempotent
     */
    record Call(String id, String key) {

        /** An idempotent call. */
        static Call read() {
            return new Call(freshId(), null);
        }

        /** The same call with an id of its own, to be forwarded to the next server. */
        Call onward() {
            return new Call(freshId(), key);
        }

        String kind() {
            return key == null ? READ : ORDER;
        }

        /** The body; empty for an idempotent call. */
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

    /** The next call. */
    Call next() {
        boolean isRead = random.nextDouble() < READ_FRACTION;
        String key = String.format("%016x%016x", random.nextLong(), random.nextLong());
        return new Call(freshId(), isRead ? null : key);
    }
}
