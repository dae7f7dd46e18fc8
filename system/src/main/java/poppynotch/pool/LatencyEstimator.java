package poppynotch.pool;

/**
 * How long one server is likely to take to the first answer of a call: what sidecars are known to
 * have sent it to read, the speed that it has shown, and what it has told of itself. It is told the
 * time.
 */
final class LatencyEstimator {

    /** A server's word on its load counts for so long. */
    private static final long REPORT_MS = 1500;

    /**
     * How fast a server is taken to read prompts before it has shown it, in tokens a ms, and the
     * bounds.
     */
    private static final double FIRST_RATE = 50;

    private static final double LEAST_RATE = 5;
    private static final double MOST_RATE = 1000;
    private static final double RATE_GAIN = 0.1;

    /** Only prompts with so much to read tell of a server's speed. */
    private static final int TELLING_TOKENS = 2000;

    /** Tokens of own calls whose answers have not begun. */
    private long backlogTokens;

    /** Tokens of the prompts of own calls that have not ended. */
    private long heldTokens;

    /** When the server will have read all that sidecars are known to have sent it. */
    private double readUntilMs;

    private double tokensPerMs = FIRST_RATE;
    private int reportedRunning;
    private int reportedWaiting;

    /** Calls of this process among those reported. */
    private int ownWhenReported;

    private long reportedMs = Long.MIN_VALUE / 2;

    long backlogTokens() {
        return backlogTokens;
    }

    long heldTokens() {
        return heldTokens;
    }

    double tokensPerMs() {
        return tokensPerMs;
    }

    /** Time in ms until the server has read what it has, and these tokens besides. */
    double readingMs(long nowMs, int tokens) {
        return Math.max(0, readUntilMs - nowMs) + tokens / tokensPerMs;
    }

    /** Calls that others are taken to have running there, by its latest word. */
    int othersRunning(long nowMs) {
        return nowMs - reportedMs > REPORT_MS ? 0 : Math.max(0, reportedRunning - ownWhenReported);
    }

    /** Calls that wait there, by its latest word. */
    int waiting(long nowMs) {
        return nowMs - reportedMs > REPORT_MS ? 0 : reportedWaiting;
    }

    /** A call of this sidecar begins. */
    void begins(long nowMs, Slot slot) {
        backlogTokens += slot.freshTokens();
        heldTokens += slot.call().promptTokens();
        prompt(nowMs, slot.freshTokens());
    }

    /** A prompt goes there, from this sidecar or another. */
    void prompt(long nowMs, int freshTokens) {
        readUntilMs = Math.max(readUntilMs, nowMs) + freshTokens / tokensPerMs;
    }

    /** The first answer of a call has come: its prompt is read, and all before it. */
    void firstAnswer(long nowMs, Slot slot) {
        if (slot.endReading()) {
            backlogTokens -= slot.freshTokens();
            learnRate(nowMs, slot);
        }
    }

    private void learnRate(long nowMs, Slot slot) {
        double tokens = slot.expectedMs() * slot.rateThen();
        double tookMs = nowMs - slot.takenMs();
        if (slot.freshTokens() >= TELLING_TOKENS && tookMs > 0) {
            double rate = Math.max(LEAST_RATE, Math.min(MOST_RATE, tokens / tookMs));
            tokensPerMs += RATE_GAIN * (rate - tokensPerMs);
        }
    }

    /** The server has told its load. */
    void reported(long nowMs, int running, int waiting, int own) {
        reportedMs = nowMs;
        reportedRunning = running;
        reportedWaiting = waiting;
        ownWhenReported = own;
    }

    /** A call of this sidecar has ended. */
    void ends(Slot slot) {
        if (slot.endReading()) {
            backlogTokens -= slot.freshTokens();
        }
        heldTokens -= slot.call().promptTokens();
    }
}
