package poppynotch.balancer;

/** A hash of names that is equal at all balancers, independent of process and runtime. */
final class StableHash {

    private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;
    private static final int FINAL_MULTIPLIER = 0x7feb352d;

    private StableHash() {}

    /** The 32-bit FNV-1a hash of a text after a final mix, as a number from 0 to 2^32 - 1. */
    static long of(String text) {
        int hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 16;
        hash *= FINAL_MULTIPLIER;
        hash ^= hash >>> 15;
        return hash & 0xffffffffL;
    }
}
