package poppynotch.router;

/**
 * To how many other edges each prompt is published: to as many as a fixed rate of datagrams allows,
 * by how often this edge has published lately. So the cost does not grow with the fleet, and in a
 * small fleet every edge receives everything. It has no clock of its own. Used on the edge's event
 * loop only.
 */
final class PromptGossipRate {

    /**
     * About 5 KB a second. More costs bytes between zones and processor time; what receiving more
     * prompts is worth was not measured apart from other changes.
     */
    private static final double MAX_DATAGRAMS_PER_S = 40;

    /** Gossip to fewer peers is not worth sending, also where it exceeds the rate. */
    private static final int MIN_PEERS = 12;

    /** Time constant of the exponential decay by which older prompts count less. */
    private static final double DECAY_MS = 5000;

    private static final double MS_PER_S = 1000;

    /** Prompts published lately, each weighted by its decay until {@link #countedAtMs}. */
    private double recentPrompts;

    private long countedAtMs;

    private double decayedPrompts(long nowMs) {
        return recentPrompts * Math.exp(-Math.max(0, nowMs - countedAtMs) / DECAY_MS);
    }

    /** A prompt is about to be published. */
    void onPublish(long nowMs) {
        recentPrompts = decayedPrompts(nowMs) + 1;
        countedAtMs = nowMs;
    }

    /** To how many of the other edges a prompt is published now. */
    int peerCount(long nowMs, int otherEdges) {
        double promptsPerS = decayedPrompts(nowMs) / DECAY_MS * MS_PER_S;
        double maxPeers =
                Math.max(MIN_PEERS, MAX_DATAGRAMS_PER_S / Math.max(promptsPerS, 1 / DECAY_MS));
        return (int) Math.min(otherEdges, maxPeers);
    }
}
