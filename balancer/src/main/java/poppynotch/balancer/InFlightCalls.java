package poppynotch.balancer;

/**
 * Counts the attempts in flight from this balancer, without those whose answer is being streamed
 * already, and remembers their recent peak.
 */
final class InFlightCalls {

    /** What is left of the remembered peak after one refill interval. */
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
