package poppynotch.fleet.rollout;

import poppynotch.canary.CanaryAnalysis;

/**
 * Decides whether a rollout's canary is harmful, with one {@link CanaryAnalysis} for failed calls
 * and one for slow calls. Owned by {@link RolloutController}; not thread-safe.
 */
final class CanaryGate {

    /**
     * The number of blocks for which the planned probability of a false alarm holds. In a rollout
     * with more blocks the probability is somewhat higher.
     */
    private static final int PLANNED_BLOCKS = 3600;

    private final CanaryAnalysis failures;
    private final CanaryAnalysis slowness;

    CanaryGate(RolloutPlan plan) {
        // Each of the two analyses gets half of the probability of a false alarm.
        double falseAlarm = plan.falseAlarm() / 2;
        failures = new CanaryAnalysis(plan.maxFailureExcess(), falseAlarm, PLANNED_BLOCKS);
        slowness = new CanaryAnalysis(plan.maxSlowExcess(), falseAlarm, PLANNED_BLOCKS);
    }

    /** Adds the calls of one zone that were reported in one time block. */
    void addBlock(CanaryMetrics metrics) {
        failures.addBlock(metrics.calls(), metrics.failed());
        slowness.addBlock(metrics.calls(), metrics.slow());
    }

    boolean isHarmful() {
        return failures.isHarmful() || slowness.isHarmful();
    }

    /** Why the canary is harmful, for operators. */
    String harmReason() {
        return failures.isHarmful()
                ? "calls fail: " + failures.summary()
                : "answers are slow: " + slowness.summary();
    }

    /** The counts of failed calls, for operators. */
    String failureSummary() {
        return failures.summary();
    }

    /** The counts of slow calls, for operators. */
    String slownessSummary() {
        return slowness.summary();
    }

    /** The stronger evidence of the two analyses, as a fraction of the decision threshold. */
    double evidence() {
        return Math.max(failures.evidence(), slowness.evidence());
    }
}
