package poppynotch.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Outlier detection for one server. By the outcomes of requests it decides when a slot is
 * quarantined, when the whole server is ejected, and when the server is on probation, which permits
 * one request at a time.
 *
 * <p>Owned by a {@link PooledServer}; confined to the edge's event loop. Times are in ms of the
 * caller's monotonic clock.
 */
final class OutlierDetector {

    /**
     * The duration of a slot's quarantine after a failure, and of a server's first ejection. The
     * time of ejection doubles with each further failure.
     */
    private static final long BASE_EJECTION_MS = 200;

    private static final int MAX_DOUBLINGS = 5;

    private final Map<Integer, Long> quarantinedUntilMs = new HashMap<>();
    private final FailureRate failureRate = new FailureRate();

    /** Failures since the last response; each ejection counts as at least one. */
    private int consecutiveFailures;

    private long ejectedUntilMs = Long.MIN_VALUE;

    /** Whether a slot is not used because of a recent failure. */
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

    /** Whether the server gets one request at a time until a response shows that it recovered. */
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
                // A full server is healthy, and a cancelled request is no evidence either way.
            }
            default -> throw new IllegalStateException("Unknown slot outcome: " + outcome);
        }
    }

    /**
     * Quarantines the slot after a first failure, which the request itself may have caused, and
     * ejects the server after a further one.
     */
    private void onFailed(long nowMs, int slotNumber) {
        failureRate.record(nowMs, true);
        quarantinedUntilMs.put(slotNumber, nowMs + BASE_EJECTION_MS);
        boolean isFirst = consecutiveFailures == 0;
        consecutiveFailures++;
        if (!isFirst) {
            eject(nowMs);
        }
    }

    /** Ejects the server, for longer each time; has no effect while the server is ejected. */
    void eject(long nowMs) {
        if (!isEjected(nowMs)) {
            int doublings = Math.min(Math.max(0, consecutiveFailures - 1), MAX_DOUBLINGS);
            ejectedUntilMs = nowMs + (BASE_EJECTION_MS << doublings);
            consecutiveFailures = Math.max(consecutiveFailures, 1) + 1;
        }
    }
}
