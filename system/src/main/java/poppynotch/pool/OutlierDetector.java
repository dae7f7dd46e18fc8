package poppynotch.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * What a sidecar makes of the failures of one server: slots that are left alone for a while, pauses
 * of the whole server that grow, a trial of one call after them, and the part of its calls that
 * failed lately. It is told the time.
 */
final class OutlierDetector {

    /**
     * A slot that failed comes back after this time, and a server after twice as long with each
     * further failure.
     */
    private static final long FIRST_PAUSE_MS = 200;

    private static final int MOST_DOUBLINGS = 5;

    /** Weight of a call in the part that fails, and how fast that part fades. */
    private static final double FAILURE_GAIN = 0.15;

    private static final double FAILURE_FADE_MS = 4000;

    private final Map<Integer, Long> discardedUntilMs = new HashMap<>();
    private double failureShare;
    private long failureMs;
    private int failures;
    private long pausedUntilMs = Long.MIN_VALUE;

    /** Whether a slot failed so lately that it is left alone. */
    boolean isDiscarded(long nowMs, int slot) {
        discardedUntilMs.values().removeIf(until -> nowMs >= until);
        return discardedUntilMs.containsKey(slot);
    }

    /** The part of late calls that failed, which fades while the server gets none. */
    double failureShare(long nowMs) {
        return failureShare * Math.exp(-Math.max(0, nowMs - failureMs) / FAILURE_FADE_MS);
    }

    boolean isPaused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** After a failure one call at a time shows whether the server is back. */
    boolean isOnTrial() {
        return failures > 1;
    }

    /** A call at a slot has ended. */
    void ended(long nowMs, int slot, SlotOutcome end) {
        switch (end) {
            case SERVED -> {
                failures = 0;
                countEnd(false, nowMs);
            }
            case ERROR -> {
                failures = 0;
                countEnd(true, nowMs);
            }
            case FAILED -> {
                countEnd(true, nowMs);
                discardedUntilMs.put(slot, nowMs + FIRST_PAUSE_MS);
                if (failures++ > 0) {
                    pause(nowMs);
                }
            }
            case UNREACHABLE, SILENT -> {
                countEnd(true, nowMs);
                pause(nowMs);
            }
            case REFUSED, CANCELLED -> {}
            default -> throw new IllegalStateException("an end of a slot: " + end);
        }
    }

    private void countEnd(boolean failed, long nowMs) {
        double faded = failureShare(nowMs);
        failureShare = faded + FAILURE_GAIN * ((failed ? 1 : 0) - faded);
        failureMs = nowMs;
    }

    /** Gives the server no calls for a while, longer each time. */
    void pause(long nowMs) {
        if (nowMs >= pausedUntilMs) {
            pausedUntilMs =
                    nowMs + (FIRST_PAUSE_MS << Math.min(Math.max(0, failures - 1), MOST_DOUBLINGS));
            failures = Math.max(failures, 1) + 1;
        }
    }
}
