package poppynotch.pool;

/**
 * Estimates the time until one model server sends the first response to a request. The server is
 * assumed to prefill all prompts that are known to have been sent to it one after the other, at a
 * rate that is learned from its responses.
 *
 * <p>Owned by a {@link PooledServer}; confined to the edge's event loop. Times are in ms of the
 * caller's monotonic clock.
 */
final class LatencyEstimator {

    /** The prefill rate assumed before the first measurement, and the bounds of measured rates. */
    private static final double INITIAL_TOKENS_PER_MS = 50;

    private static final double MIN_TOKENS_PER_MS = 5;
    private static final double MAX_TOKENS_PER_MS = 1000;

    /** The weight of one measurement in the moving average of the prefill rate. */
    private static final double RATE_GAIN = 0.1;

    /**
     * The minimum number of prefilled tokens for a measurement; with fewer tokens, delays other
     * than the prefill dominate the latency.
     */
    private static final int MIN_MEASURED_TOKENS = 2000;

    /** Uncached prompt tokens of this edge's requests that have had no response yet. */
    private long backlogTokens;

    /** Prompt tokens of all requests that this edge has in flight. */
    private long promptTokensInFlight;

    /** The time at which the server is expected to have prefilled all prompts sent to it. */
    private double prefilledAtMs;

    private double tokensPerMs = INITIAL_TOKENS_PER_MS;

    long backlogTokens() {
        return backlogTokens;
    }

    long promptTokensInFlight() {
        return promptTokensInFlight;
    }

    double tokensPerMs() {
        return tokensPerMs;
    }

    /** The expected time until the server has prefilled its backlog and a new prompt's tokens. */
    double timeToFirstResponseMs(long nowMs, int uncachedTokens) {
        return Math.max(0, prefilledAtMs - nowMs) + uncachedTokens / tokensPerMs;
    }

    /** Records that a request of this edge is sent. */
    void onAcquired(long nowMs, Slot slot) {
        backlogTokens += slot.uncachedTokens();
        promptTokensInFlight += slot.request().promptTokens();
        onPromptSent(nowMs, slot.uncachedTokens());
    }

    /** Records that a prompt is sent to the server by this edge or another. */
    void onPromptSent(long nowMs, int uncachedTokens) {
        prefilledAtMs = Math.max(prefilledAtMs, (double) nowMs) + uncachedTokens / tokensPerMs;
    }

    /** Records the first response to a request, which shows that its prompt is prefilled. */
    void onFirstResponse(long nowMs, Slot slot) {
        if (slot.completePrefill()) {
            backlogTokens -= slot.uncachedTokens();
            learnRate(nowMs, slot);
        }
    }

    private void learnRate(long nowMs, Slot slot) {
        double expectedTokens = slot.expectedFirstResponseMs() * slot.tokensPerMsAtAcquire();
        double elapsedMs = nowMs - slot.acquiredMs();
        if (slot.uncachedTokens() >= MIN_MEASURED_TOKENS && elapsedMs > 0) {
            double measured = expectedTokens / elapsedMs;
            double bounded = Math.max(MIN_TOKENS_PER_MS, Math.min(MAX_TOKENS_PER_MS, measured));
            tokensPerMs += RATE_GAIN * (bounded - tokensPerMs);
        }
    }

    /** Records that a request of this edge has ended. */
    void onReleased(Slot slot) {
        if (slot.completePrefill()) {
            backlogTokens -= slot.uncachedTokens();
        }
        promptTokensInFlight -= slot.request().promptTokens();
    }
}
