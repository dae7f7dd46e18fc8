package poppynotch.router;

/**
 * Limits the number of other edges to which each prompt is published, so that the edge's recent
 * rate of prompts stays within a fixed rate of datagrams. The cost therefore does not grow with the
 * fleet, and in a small fleet every edge receives all prompts. Times are passed in by the caller.
 * Used on the edge's event loop only.
 */
final class PromptGossipRate {

    /**
     * About 5 KB per second. A higher rate costs traffic between zones and CPU time; the benefit of
     * receiving more prompts was not measured in isolation.
     */
    private static final double MAX_DATAGRAMS_PER_S = 40;

    /**
     * Publishing to fewer peers is not useful: this minimum applies even if it exceeds the rate.
     */
    private static final int MIN_PEERS = 12;

    /** Time constant of the exponential decay of the weight of older prompts. */
    private static final double DECAY_MS = 5000;

    private static final double MS_PER_S = 1000;

    /** Number of published prompts, each decayed by its age at {@link #countedAtMs}. */
    private double recentPrompts;

    private long countedAtMs;

    private double decayedPrompts(long nowMs) {
        return recentPrompts * Math.exp(-Math.max(0, nowMs - countedAtMs) / DECAY_MS);
    }

    /** Counts a prompt that is about to be published. */
    void onPublish(long nowMs) {
        recentPrompts = decayedPrompts(nowMs) + 1;
        countedAtMs = nowMs;
    }

    /** The number of other edges to which a prompt is published now. */
    int peerCount(long nowMs, int otherEdges) {
        double promptsPerS = decayedPrompts(nowMs) / DECAY_MS * MS_PER_S;
        double maxPeers =
                Math.max(MIN_PEERS, MAX_DATAGRAMS_PER_S / Math.max(promptsPerS, 1 / DECAY_MS));
        return (int) Math.min(otherEdges, maxPeers);
    }
}
