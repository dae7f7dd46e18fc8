package poppynotch.canary;

/**
 * Sequential test of whether the canary has a higher rate of one kind of fault (failed or slow
 * calls) than the baseline at the same time and in the same zone, by more than a tolerated excess.
 * The test may be evaluated after each block of calls, and the harm may begin at any block.
 *
 * <p>Each block yields an e-variable against the hypothesis "the excess is tolerated" (for two
 * Bernoulli streams: Turner, Ly, Grünwald 2021). The products of the e-variables since each block
 * are summed (an e-detector: Shin, Ramdas, Rinaldo 2022), so the probability of a false alarm
 * within a number of blocks is at most that number divided by the threshold.
 *
 * <p>Not thread-safe: confined to the thread of its owner.
 */
public final class CanaryAnalysis {

    /**
     * The smallest harm that is looked for, beyond the tolerated excess. To detect a smaller one
     * would take too many calls.
     */
    private static final double MIN_HARM = 0.005;

    /** Rates are clamped to this distance from 0 and 1, so that one call is never conclusive. */
    private static final double RATE_MARGIN = 0.0005;

    /** Prior of the baseline's fault rate, as a number of faults in a number of calls. */
    private static final double PRIOR_BASELINE_FAULTS = 0.5;

    private static final double PRIOR_BASELINE_CALLS = 20;

    /**
     * Prior of the canary's fault rate: its excess over the baseline's, and its weight in calls.
     */
    private static final double PRIOR_CANARY_EXCESS = 0.1;

    private static final double PRIOR_CANARY_CALLS = 4;

    /** Iterations of the ternary search. Each shortens the interval by a third. */
    private static final int SEARCH_ITERATIONS = 40;

    private final double toleratedExcess;
    private final double logThreshold;

    /** Logarithm of the e-detector's value. */
    private double logDetector = Double.NEGATIVE_INFINITY;

    private double baselineCalls;
    private double baselineFaults;
    private double canaryCalls;
    private double canaryFaults;

    /**
     * Creates an analysis without calls.
     *
     * @param toleratedExcess by how much the canary's fault rate may exceed the baseline's
     * @param falseAlarmProbability the probability of a false alarm within {@code blocks}
     */
    public CanaryAnalysis(double toleratedExcess, double falseAlarmProbability, int blocks) {
        this.toleratedExcess = toleratedExcess;
        logThreshold = Math.log(blocks / falseAlarmProbability);
    }

    /**
     * Adds a block of calls that ended at about the same time in one zone.
     *
     * @param faults the number of these calls that had the fault
     */
    public void addBlock(VersionCounts calls, VersionCounts faults) {
        if (calls.canary() == 0 || calls.baseline() == 0) {
            // Without calls of both versions there is nothing to compare.
            return;
        }
        double baselineRate = expectedBaselineRate();
        double canaryRate = expectedCanaryRate(baselineRate);
        double harmlessRate = closestHarmlessRate(baselineRate, canaryRate, calls);
        double logBet =
                logLikelihoodRatio(
                                (double) calls.baseline(),
                                (double) faults.baseline(),
                                baselineRate,
                                harmlessRate)
                        + logLikelihoodRatio(
                                (double) calls.canary(),
                                (double) faults.canary(),
                                canaryRate,
                                clamp(harmlessRate + toleratedExcess));
        logDetector = logOfOnePlusDetector() + logBet;
        baselineCalls += calls.baseline();
        baselineFaults += faults.baseline();
        canaryCalls += calls.canary();
        canaryFaults += faults.canary();
    }

    private double expectedBaselineRate() {
        return clamp(
                (baselineFaults + PRIOR_BASELINE_FAULTS) / (baselineCalls + PRIOR_BASELINE_CALLS));
    }

    private double expectedCanaryRate(double baselineRate) {
        return clamp(
                Math.max(
                        baselineRate + toleratedExcess + MIN_HARM,
                        (canaryFaults + PRIOR_CANARY_CALLS * (baselineRate + PRIOR_CANARY_EXCESS))
                                / (canaryCalls + PRIOR_CANARY_CALLS)));
    }

    /** Computes log(1 + e^logDetector) without overflow. */
    private double logOfOnePlusDetector() {
        return logDetector < 0
                ? Math.log1p(Math.exp(logDetector))
                : logDetector + Math.log1p(Math.exp(-logDetector));
    }

    private static double clamp(double rate) {
        return Math.max(RATE_MARGIN, Math.min(1 - RATE_MARGIN, rate));
    }

    /** The log likelihood ratio of an expected to a harmless fault rate, for a number of calls. */
    private static double logLikelihoodRatio(
            double calls, double faults, double expectedRate, double harmlessRate) {
        return faults * Math.log(expectedRate / harmlessRate)
                + (calls - faults) * Math.log((1 - expectedRate) / (1 - harmlessRate));
    }

    /**
     * Finds the harmless pair of fault rates that is hardest to distinguish from the expected pair,
     * by ternary search, and returns its baseline rate.
     */
    private double closestHarmlessRate(
            double baselineRate, double canaryRate, VersionCounts calls) {
        double low = RATE_MARGIN;
        double high = 1 - RATE_MARGIN;
        for (int i = 0; i < SEARCH_ITERATIONS; i++) {
            double lowerThird = low + (high - low) / 3;
            double upperThird = high - (high - low) / 3;
            if (divergence(baselineRate, canaryRate, lowerThird, calls)
                    < divergence(baselineRate, canaryRate, upperThird, calls)) {
                high = upperThird;
            } else {
                low = lowerThird;
            }
        }
        return (low + high) / 2;
    }

    private double divergence(
            double baselineRate, double canaryRate, double harmlessRate, VersionCounts calls) {
        return logLikelihoodRatio(
                        (double) calls.baseline(),
                        calls.baseline() * baselineRate,
                        baselineRate,
                        harmlessRate)
                + logLikelihoodRatio(
                        (double) calls.canary(),
                        calls.canary() * canaryRate,
                        canaryRate,
                        clamp(harmlessRate + toleratedExcess));
    }

    /** Whether the evidence against the canary has reached the threshold. */
    public boolean isHarmful() {
        return logDetector >= logThreshold;
    }

    /** The logarithmic evidence as a fraction of the threshold; -1 to 0 if there is none. */
    public double evidence() {
        return Math.max(-1, logDetector / logThreshold);
    }

    /** The faults and calls of both versions so far, as text for operators. */
    public String summary() {
        return Math.round(canaryFaults)
                + " of "
                + Math.round(canaryCalls)
                + " new, "
                + Math.round(baselineFaults)
                + " of "
                + Math.round(baselineCalls)
                + " old";
    }
}
