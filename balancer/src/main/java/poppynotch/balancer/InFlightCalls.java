package poppynotch.balancer;

/**
 * Counts the attempts in flight from this balancer, except those whose response is already being
 * streamed, and tracks their recent peak.
 */
final class InFlightCalls {

    /** The factor on the peak in each refill interval. */
    private static final double PEAK_DECAY = 0.996;

    private int count;
    private double peak;

    void onStart() {
        count++;
        peak = Math.max(peak, count);
    }

    void onEnd() {
        count--;
    }

    void decayPeak() {
        peak = Math.max(count, peak * PEAK_DECAY);
    }

    int count() {
        return count;
    }

    double peak() {
        return peak;
    }
}
