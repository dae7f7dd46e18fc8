package poppynotch.pool;

/**
 * Estimates how long one model server takes until the first response to a request: the prompts that
 * it is known to have been sent are prefilled one after the other, at a rate that is learned from
 * its responses.
 *
 * <p>Owned by a {@link PooledServer}; used on the edge's event loop. Times are in ms of the
 * caller's monotonic clock.
 */
final class LatencyEstimator {

    /** The prefill rate that is assumed before any was measured, in tokens a ms, and its bounds. */
    private static final double INITIAL_TOKENS_PER_MS = 50;

    private static final double MIN_TOKENS_PER_MS = 5;
    private static final double MAX_TOKENS_PER_MS = 1000;

    /** The weight of one measurement in the learned rate. */
    private static final double RATE_GAIN = 0.1;

    /** With fewer tokens to prefill, other delays than the prefill dominate the latency. */
    private static final int MIN_MEASURED_TOKENS = 2000;

    /** Uncached tokens of this edge's requests that have had no response yet. */
    private long backlogTokens;

    /** Prompt tokens of all requests that this edge has in flight. */
    private long promptTokensInFlight;

    /** When the server will have prefilled all prompts that it is known to have been sent. */
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

    /** The time in ms until the server has prefilled its backlog and then so many tokens. */
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

    /** Records the first response to a request: its prompt is prefilled. */
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
