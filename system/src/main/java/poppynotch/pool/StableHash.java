package poppynotch.pool;

/** Hash functions with equal results in every process, so that edges agree without messages. */
final class StableHash {

    private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;

    private StableHash() {}

    /** Returns the 32-bit FNV-1a hash of a text with its bits mixed, not negative. */
    static long of(String text) {
        int hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 16;
        hash *= 0x7feb352d;
        hash ^= hash >>> 15;
        return hash & 0xffffffffL;
    }

    /** Returns the score of a server for a key in rendezvous hashing. */
    static long rendezvousScore(long key, long serverHash) {
        return mix(key ^ serverHash * 0x9E3779B97F4A7C15L);
    }

    /** The finalizer of SplitMix64: each bit of the value affects all bits of the result. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
