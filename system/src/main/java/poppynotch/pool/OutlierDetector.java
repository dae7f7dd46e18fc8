package poppynotch.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Outlier detection for one server: decides by the outcomes of its requests when a slot is
 * quarantined, when the whole server is ejected, and when it is on probation, which permits one
 * request at a time.
 *
 * <p>Owned by a {@link PooledServer}; used on the edge's event loop. Times are in ms of the
 * caller's monotonic clock.
 */
final class OutlierDetector {

    /**
     * How long a slot is quarantined after a failure, and a server ejected for the first time. The
     * time of ejection doubles with each further failure.
     */
    private static final long BASE_EJECTION_MS = 200;

    private static final int MAX_DOUBLINGS = 5;

    private final Map<Integer, Long> quarantinedUntilMs = new HashMap<>();
    private final FailureRate failureRate = new FailureRate();

    /** Failures since the last response, where each ejection counts as at least one. */
    private int consecutiveFailures;

    private long ejectedUntilMs = Long.MIN_VALUE;

    /** Whether a slot failed so recently that it is not used. */
    boolean isQuarantined(long nowMs, int slotNumber) {
        quarantinedUntilMs.values().removeIf(until -> nowMs >= until);
        return quarantinedUntilMs.containsKey(slotNumber);
    }

    /** The fraction of recent requests that failed, 0 to 1. */
    double failureRate(long nowMs) {
        return failureRate.at(nowMs);
    }

    boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** Whether one request at a time must show that the server has recovered. */
    boolean isOnProbation() {
        return consecutiveFailures > 1;
    }

    /** Records how a request on a slot ended. */
    void onReleased(long nowMs, int slotNumber, SlotOutcome outcome) {
        switch (outcome) {
            case SERVED -> {
                consecutiveFailures = 0;
                failureRate.record(nowMs, false);
            }
            case ERROR_RESPONSE -> {
                consecutiveFailures = 0;
                failureRate.record(nowMs, true);
            }
            case INVALID_RESPONSE -> onFailed(nowMs, slotNumber);
            case UNREACHABLE, TIMED_OUT -> {
                failureRate.record(nowMs, true);
                eject(nowMs);
            }
            case REJECTED, CANCELLED -> {
                // A full server is healthy, and a cancelled request says nothing about it.
            }
            default -> throw new IllegalStateException("Unknown slot outcome: " + outcome);
        }
    }

    /** A single failure may be the request's own: it costs the slot, a second one the server. */
    private void onFailed(long nowMs, int slotNumber) {
        failureRate.record(nowMs, true);
        quarantinedUntilMs.put(slotNumber, nowMs + BASE_EJECTION_MS);
        boolean isFirst = consecutiveFailures == 0;
        consecutiveFailures++;
        if (!isFirst) {
            eject(nowMs);
        }
    }

    /** Ejects the server, for longer each time; without effect while it is ejected. */
    void eject(long nowMs) {
        if (!isEjected(nowMs)) {
            int doublings = Math.min(Math.max(0, consecutiveFailures - 1), MAX_DOUBLINGS);
            ejectedUntilMs = nowMs + (BASE_EJECTION_MS << doublings);
            consecutiveFailures = Math.max(consecutiveFailures, 1) + 1;
        }
    }
}
