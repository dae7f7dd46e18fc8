package poppynotch.fleet.rollout;

/**
 * Counts of ended calls, separately for the canary and for all other servers (the baseline): of one
 * process since its start, or of several in an interval. Immutable.
 *
 * @param calls all ended calls
 * @param failed those with an error or without a response
 * @param slow those answered later than their latency target
 */
public record CanaryMetrics(Count calls, Count failed, Count slow) {

    /** No calls. */
    public static final CanaryMetrics NONE = new CanaryMetrics(Count.NONE, Count.NONE, Count.NONE);

    /** More calls than this between two reports of one process cannot be true. */
    private static final long MAX_CALLS_BETWEEN_REPORTS = 10_000_000;

    /**
     * A count for each of the two versions.
     *
     * @param fresh of the canary
     * @param old of the baseline
     */
    public record Count(long fresh, long old) {
        static final Count NONE = new Count(0, 0);

        private Count incremented(boolean isCanary) {
            return new Count(fresh + (isCanary ? 1 : 0), old + (isCanary ? 0 : 1));
        }

        private Count minus(Count other) {
            return new Count(fresh - other.fresh, old - other.old);
        }

        private Count plus(Count other) {
            return new Count(fresh + other.fresh, old + other.old);
        }
    }

    /** These metrics and one more call. */
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

    /** Whether one process can have reported these metrics after the earlier ones. */
    boolean isPlausibleAfter(CanaryMetrics earlier) {
        CanaryMetrics since = minus(earlier);
        return isPlausible(since.calls.fresh(), since.failed.fresh(), since.slow.fresh())
                && isPlausible(since.calls.old(), since.failed.old(), since.slow.old());
    }

    private static boolean isPlausible(long calls, long failed, long slow) {
        return failed >= 0
                && slow >= 0
                && calls >= failed
                && calls >= slow
                && calls < MAX_CALLS_BETWEEN_REPORTS;
    }
}
