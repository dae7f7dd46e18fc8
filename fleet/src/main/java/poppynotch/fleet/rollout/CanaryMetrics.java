package poppynotch.fleet.rollout;

import poppynotch.canary.VersionCounts;

/**
 * Counts of completed calls, separately for the canary and for all other servers (the baseline).
 * They cover one process since its start, or several processes in an interval. Immutable.
 *
 * @param calls all completed calls
 * @param failed calls with an error or without a response
 * @param slow calls with a latency above their target
 */
public record CanaryMetrics(VersionCounts calls, VersionCounts failed, VersionCounts slow) {

    /** Counts of zero calls. */
    public static final CanaryMetrics NONE =
            new CanaryMetrics(VersionCounts.NONE, VersionCounts.NONE, VersionCounts.NONE);

    /** The limit of plausible calls between two reports of one process. */
    private static final long MAX_CALLS_BETWEEN_REPORTS = 10_000_000;

    /** These metrics with one more call. */
    CanaryMetrics withCall(boolean canary, boolean callFailed, boolean callSlow) {
        return new CanaryMetrics(
                calls.incremented(canary),
                callFailed ? failed.incremented(canary) : failed,
                callSlow ? slow.incremented(canary) : slow);
    }

    CanaryMetrics minus(CanaryMetrics other) {
        return new CanaryMetrics(
                calls.minus(other.calls), failed.minus(other.failed), slow.minus(other.slow));
    }

    CanaryMetrics plus(CanaryMetrics other) {
        return new CanaryMetrics(
                calls.plus(other.calls), failed.plus(other.failed), slow.plus(other.slow));
    }

    /** Whether these metrics of a process are plausible as a report after its earlier ones. */
    boolean isPlausibleAfter(CanaryMetrics earlier) {
        CanaryMetrics since = minus(earlier);
        return isPlausible(since.calls.canary(), since.failed.canary(), since.slow.canary())
                && isPlausible(
                        since.calls.baseline(), since.failed.baseline(), since.slow.baseline());
    }

    private static boolean isPlausible(long calls, long failed, long slow) {
        return failed >= 0
                && slow >= 0
                && calls >= failed
                && calls >= slow
                && calls < MAX_CALLS_BETWEEN_REPORTS;
    }
}
