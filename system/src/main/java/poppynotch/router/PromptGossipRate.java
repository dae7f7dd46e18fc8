package poppynotch.router;

/**
 * How many other edges one edge tells of each prompt: as many as it can with so many datagrams a
 * second, by how often it has had something to tell lately. So the cost does not grow with the
 * fleet, and a small fleet hears of everything. It is told the time.
 */
final class PromptGossipRate {

    /**
     * About 5 KB a second. More costs bytes between zones and processor time; what hearing of more
     * prompts is worth was not measured apart from other changes.
     */
    private static final double DATAGRAMS_PER_S = 40;

    /** Fewer are not worth the telling. */
    private static final int LEAST_PEERS = 12;

    /** How long a telling counts in the rate. */
    private static final double FADE_MS = 5000;

    private static final double MS_PER_S = 1000;

    /** Tellings lately, each less the longer ago it was. */
    private double recent;

    private long countedMs;

    private double faded(long nowMs) {
        return recent * Math.exp(-Math.max(0, nowMs - countedMs) / FADE_MS);
    }

    /** A prompt is to be told. */
    void count(long nowMs) {
        recent = faded(nowMs) + 1;
        countedMs = nowMs;
    }

    /** How many of the other edges are told now. */
    int peers(long nowMs, int others) {
        double perS = faded(nowMs) / FADE_MS * MS_PER_S;
        double most = Math.max(LEAST_PEERS, DATAGRAMS_PER_S / Math.max(perS, 1 / FADE_MS));
        return (int) Math.min(others, most);
    }
}
