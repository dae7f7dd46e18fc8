package poppynotch.balancer;

/**
 * The state that this balancer keeps of one server. It only stores; the classes named at each group
 * of fields change them. {@link ServerUpdater} creates it when a list first names the server, and
 * {@link ServerRemover} removes it when the server is gone and its last attempt has ended.
 */
final class TrackedServer {

    /** Weight of a new interval between successes in the usual one. */
    private static final double SUCCESS_INTERVAL_GAIN = 1.0 / 12;

    final String id;
    final long hash;

    // ---- changed by ServerListUpdater, ServerUpdater and FleetAdviceInForce ----

    /** Its entry as announced, but with its maintenance applied. */
    Server entry;

    /** Its entry as discovery announced it. */
    Server announced;

    /** It runs a version that is being rolled out, according to the fleet's advice. */
    boolean staged;

    /**
     * It is back from maintenance and gets the next call that may go there: few calls reach high
     * ranks, so it could otherwise stay idle. Cleared by {@link CallDispatcher}.
     */
    boolean nextCallDue;

    // ---- changed by RingPlacement ----

    /** Its position on the ring of balancers, equal at all balancers that have the same list. */
    double ringPosition;

    // ---- changed by SlotPool ----

    /** A bit for the number of each slot that is in the pool. */
    long pooledSlots;

    /** The next slot outside the pool; null if the server may have no more. */
    Slot spare;

    // ---- changed by CallDispatcher and AttemptCompletion ----

    /** Attempts in flight to it from this balancer. */
    int inFlight;

    // ---- changed by OutlierDetector ----

    /**
     * How often it failed recently: doubles its pause with each failure, and is halved when it
     * leaves probation.
     */
    int failureLevel;

    /** No further slot of it is offered until this time. */
    double pausedUntilMs;

    /** After a failure: it has one slot at a time until enough calls have succeeded. */
    boolean onProbation;

    int probationSuccesses;

    /** The last failure that put it on probation was a failed connect. */
    boolean unreachable;

    /** A connect has failed while other connections were open, and no call has succeeded since. */
    boolean connectFailed;

    // ---- changed by ServerCostEstimator ----

    /** Its latency as a multiple of what is typical of the requests' classes. */
    double slowness = 1;

    /** The factor on its slots' ranks; follows the slowness in steps. */
    double cost = 1;

    // ---- changed by CongestionMonitor ----

    /** When a call of this balancer last succeeded there; 0 before the first. */
    double lastSuccessAtMs;

    /** The usual time between successes of this balancer there; 0 before the second. */
    double successIntervalMs;

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

    /** Updates the usual interval between successes with a success that came now. */
    void recordSuccess(double nowMs) {
        if (lastSuccessAtMs > 0) {
            successIntervalMs +=
                    (successIntervalMs == 0 ? 1 : SUCCESS_INTERVAL_GAIN)
                            * (nowMs - lastSuccessAtMs - successIntervalMs);
        }
        lastSuccessAtMs = nowMs;
    }

    /** Resets the observed behavior: a new process has started under the server's ID. */
    void resetBehavior() {
        onProbation = false;
        failureLevel = 0;
        pausedUntilMs = 0;
        slowness = 1;
        lastSuccessAtMs = 0;
        successIntervalMs = 0;
    }
}
