package poppynotch.balancer;

/**
 * Estimates the answer times of one request class from its attempts: the typical time, the time
 * that few answers exceed, and the time without crowding. Held by {@link RequestClassTable}.
 */
final class ClassLatencyEstimator {

    /** Weight of a new answer in the typical time. */
    private static final double TYPICAL_GAIN = 1.0 / 32;

    /** The fraction of attempts that take longer than the tail time. */
    private static final double TAIL_FRACTION = 0.03;

    /** How fast the tail time is learned. */
    private static final double TAIL_GAIN = 0.1;

    /** Answers averaged for the base time. */
    private static final int BASE_SAMPLES = 16;

    /** The rise that the base time is allowed at each such average. */
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

    /** Updates the tail time by an attempt that was answered or timed out. */
    void recordAttempt(double tookMs, double maxTailMs) {
        double step =
                tookMs > tailMs ? TAIL_GAIN * (1 - TAIL_FRACTION) : -TAIL_GAIN * TAIL_FRACTION;
        tailMs = Math.min(maxTailMs, tailMs * Math.exp(step));
    }

    /** Updates the typical and the base time by an answer. */
    void recordAnswer(double tookMs) {
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

    /** The time that {@link #TAIL_FRACTION} of attempts exceed. */
    double tailMs() {
        return tailMs;
    }

    /** What answers take when nothing is crowded. */
    double baseMs() {
        return baseMs > 0 ? baseMs : typicalMs;
    }
}
