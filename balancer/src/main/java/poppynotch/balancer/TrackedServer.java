package poppynotch.balancer;

/**
 * What this balancer knows of one server. It only stores; the class named at each group of fields
 * is the one that changes them. {@link ServerListUpdater} creates it when a list first names the
 * server, and forgets it when the server is gone and its last attempt has ended.
 */
final class TrackedServer {

    /** Weight of a new gap between answers in the usual one. */
    private static final double ANSWER_GAP_GAIN = 1.0 / 12;

    final String id;
    final long hash;

    // ---- changed by ServerListUpdater ----

    /** Its entry as it counts here: as announced, but draining while it is in maintenance. */
    Server entry;

    /** Its entry as discovery announced it. */
    Server announced;

    /** It runs a version that is being rolled out, by the fleet's advice. */
    boolean staged;

    /**
     * It is back from maintenance, and the next call that may go there does: few calls come far
     * down the ranks, so it would stand idle else. Cleared by {@link CallDispatcher}.
     */
    boolean nextCallDue;

    // ---- changed by RingPlacement ----

    /** Its position on the ring of balancers, equal at all balancers that have the same list. */
    double ringPosition;

    // ---- changed by SlotPool ----

    /** A bit for each number of a slot that is in the pool. */
    long pooledSlots;

    /** The next slot outside the pool; null if the server may have no more. */
    Slot spare;

    // ---- changed by CallDispatcher and AttemptCompletion ----

    /** Attempts in flight to it from this balancer. */
    int inFlight;

    // ---- changed by OutlierDetector ----

    /**
     * How often it failed of late: doubles its pause with each failure and is halved when it leaves
     * probation.
     */
    int failureLevel;

    /** No further slot of it is offered until this time. */
    double pausedUntilMs;

    /** After a failure: it has one slot at a time until it has answered often enough. */
    boolean onProbation;

    int probationAnswers;

    /** The failure that put it on probation last was a connect that failed. */
    boolean unreachable;

    /** A connect has failed, though other connections stand, and nothing was answered since. */
    boolean connectFailed;

    // ---- changed by ServerCostEstimator ----

    /** Its answer times as a multiple of what is typical of the requests' classes. */
    double slowness = 1;

    /** The factor on its slots' ranks; follows the slowness in steps. */
    double cost = 1;

    // ---- changed by recordAnswer ----

    /** When it last answered this balancer; 0 before. */
    double lastAnswerAtMs;

    /** The usual time between its answers to this balancer; 0 before the second. */
    double answerGapMs;

    TrackedServer(Server entry) {
        this.id = entry.id();
        this.entry = entry;
        this.hash = StableHash.of(id);
    }

    boolean isReady() {
        return entry.state() == ServerState.READY;
    }

    boolean isPaused(double nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** Updates the usual gap between answers by an answer that came now. */
    void recordAnswer(double nowMs) {
        if (lastAnswerAtMs > 0) {
            answerGapMs +=
                    (answerGapMs == 0 ? 1 : ANSWER_GAP_GAIN)
                            * (nowMs - lastAnswerAtMs - answerGapMs);
        }
        lastAnswerAtMs = nowMs;
    }

    /** Forgets how the server behaved: a new process has started under its name. */
    void resetBehavior() {
        onProbation = false;
        failureLevel = 0;
        pausedUntilMs = 0;
        slowness = 1;
        lastAnswerAtMs = 0;
        answerGapMs = 0;
    }
}
