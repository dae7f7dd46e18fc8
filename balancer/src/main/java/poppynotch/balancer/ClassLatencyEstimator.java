package poppynotch.balancer;

/**
 * Estimates the latency of one request class from its attempts: the typical latency, the tail
 * latency, and the base latency without congestion. Held by {@link RequestClassTable}.
 */
final class ClassLatencyEstimator {

    /** Weight of a new response in the typical latency. */
    private static final double TYPICAL_GAIN = 1.0 / 32;

    /** The fraction of attempts that exceed the tail latency. */
    private static final double TAIL_FRACTION = 0.03;

    /** Step size of the tail latency estimate. */
    private static final double TAIL_GAIN = 0.1;

    /** Responses averaged for one sample of the base latency. */
    private static final int BASE_SAMPLES = 16;

    /** The factor by which the base latency may rise with each sample. */
    private static final double MAX_BASE_RISE = 1.02;

    private double typicalMs;
    private double tailMs;

    /** The lowest of recent averages; 0 before the first. */
    private double baseMs;

    private double sumMs;
    private int samples;

    ClassLatencyEstimator(RequestClass requestClass) {
        typicalMs = requestClass.latencyTargetMs() / 4;
        tailMs = requestClass.latencyTargetMs();
    }

    /** Updates the tail latency with an attempt that succeeded or timed out. */
    void recordAttempt(double tookMs, double maxTailMs) {
        double step =
                tookMs > tailMs ? TAIL_GAIN * (1 - TAIL_FRACTION) : -TAIL_GAIN * TAIL_FRACTION;
        tailMs = Math.min(maxTailMs, tailMs * Math.exp(step));
    }

    /** Updates the typical and the base latency with an attempt that succeeded. */
    void recordSuccess(double tookMs) {
        typicalMs += TYPICAL_GAIN * (tookMs - typicalMs);
        sumMs += tookMs;
        samples++;
        if (samples == BASE_SAMPLES) {
            double mean = sumMs / samples;
            baseMs = baseMs == 0 ? mean : Math.min(mean, baseMs * MAX_BASE_RISE);
            samples = 0;
            sumMs = 0;
        }
    }

    double typicalMs() {
        return typicalMs;
    }

    /** The latency that {@link #TAIL_FRACTION} of attempts exceed. */
    double tailMs() {
        return tailMs;
    }

    /** The latency without congestion. */
    double baseMs() {
        return baseMs > 0 ? baseMs : typicalMs;
    }
}
