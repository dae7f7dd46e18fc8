package poppynotch.pool;

/**
 * The fraction of a server's recent requests that failed, as an exponentially weighted average. It
 * also decays with time, so that a server that gets no requests because of it is tried again.
 *
 * <p>Owned by an {@link OutlierDetector}; used on the edge's event loop.
 */
final class FailureRate {

    /** The weight of one request in the average. */
    private static final double REQUEST_WEIGHT = 0.15;

    private static final double DECAY_TIME_CONSTANT_MS = 4000;

    private double rate;
    private long updatedMs;

    /** The failure rate at a time, 0 to 1. */
    double at(long nowMs) {
        return rate * Math.exp(-Math.max(0, nowMs - updatedMs) / DECAY_TIME_CONSTANT_MS);
    }

    /** Records the end of a request. */
    void record(long nowMs, boolean failed) {
        double decayed = at(nowMs);
        rate = decayed + REQUEST_WEIGHT * ((failed ? 1 : 0) - decayed);
        updatedMs = nowMs;
    }
}
