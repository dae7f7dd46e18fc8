package poppynotch.balancer;

/** Processes the end of an attempt: updates the estimators with its result and frees its slot. */
final class AttemptCompletion {

    private final BalancerActions host;
    private final ConcurrencyLimiter limiter;
    private final ServerCostEstimator costs;
    private final CongestionMonitor congestion;
    private final OutlierDetector outliers;
    private final InFlightCalls inFlight;
    private final ServerRemover remover;

    AttemptCompletion(
            BalancerActions host,
            ConcurrencyLimiter limiter,
            ServerCostEstimator costs,
            CongestionMonitor congestion,
            OutlierDetector outliers,
            InFlightCalls inFlight,
            ServerRemover remover) {
        this.host = host;
        this.limiter = limiter;
        this.costs = costs;
        this.congestion = congestion;
        this.outliers = outliers;
        this.inFlight = inFlight;
        this.remover = remover;
    }

    void complete(double nowMs, CallRecord call, Attempt attempt, AttemptResult result) {
        call.endAttempt(attempt, result.outcome());
        limiter.onAttemptEnd(nowMs, result.tookMs());
        recordLatency(nowMs, call, attempt.slot.server, result);
        congestion.onAttemptEnd(nowMs, call, attempt, result);
        freeSlot(attempt.slot);
        outliers.onAttemptEnd(nowMs, call, attempt, result);
        releaseServer(attempt.slot);
    }

    private void recordLatency(
            double nowMs, CallRecord call, TrackedServer server, AttemptResult result) {
        boolean succeeded = result.outcome() == AttemptOutcome.OK;
        if (!succeeded && result.outcome() != AttemptOutcome.TIMED_OUT) {
            return;
        }
        call.latency.recordAttempt(result.tookMs(), call.requestClass.deadlineMs());
        costs.recordAttempt(nowMs, server, result.tookMs(), call.latency.typicalMs());
        if (succeeded) {
            call.latency.recordSuccess(result.tookMs());
        }
    }

    private void freeSlot(Slot slot) {
        slot.busy = false;
        slot.server.inFlight--;
        if (!slot.streaming) {
            inFlight.onEnd();
        }
        slot.streaming = false;
    }

    /**
     * Closes idle connections to a server that is not used any more, and removes it if it is gone.
     */
    private void releaseServer(Slot slot) {
        TrackedServer server = slot.server;
        if (slot.discarded && server.pooledSlots == 0 && server.inFlight == 0) {
            host.closeIdleConnections(server.id);
            remover.removeIfGone(server);
        }
    }
}
