package poppynotch.fleet.rollout;

/**
 * How calls ended that one process made, since its start: to servers of the new version and to
 * others.
 *
 * @param calls that ended
 * @param failed of these, with an error or no answer
 * @param slow of these, answered later than their class wants
 */
public record CanaryMetrics(Count calls, Count failed, Count slow) {

    /** Nothing yet. */
    public static final CanaryMetrics NONE = new CanaryMetrics(Count.NONE, Count.NONE, Count.NONE);

    /** One number for each version. */
    public record Count(long fresh, long old) {
        static final Count NONE = new Count(0, 0);

        Count plus(boolean isFresh) {
            return new Count(fresh + (isFresh ? 1 : 0), old + (isFresh ? 0 : 1));
        }

        Count minus(Count other) {
            return new Count(fresh - other.fresh, old - other.old);
        }

        Count plus(Count other) {
            return new Count(fresh + other.fresh, old + other.old);
        }
    }

    /** One more call. */
    CanaryMetrics plus(boolean isFresh, boolean hasFailed, boolean isSlow) {
        return new CanaryMetrics(
                calls.plus(isFresh),
                hasFailed ? failed.plus(isFresh) : failed,
                isSlow ? slow.plus(isFresh) : slow);
    }

    CanaryMetrics minus(CanaryMetrics other) {
        return new CanaryMetrics(
                calls.minus(other.calls), failed.minus(other.failed), slow.minus(other.slow));
    }

    CanaryMetrics plus(CanaryMetrics other) {
        return new CanaryMetrics(
                calls.plus(other.calls), failed.plus(other.failed), slow.plus(other.slow));
    }

    /** Whether it can be true that this came after another one of the same process. */
    boolean follows(CanaryMetrics before) {
        CanaryMetrics since = minus(before);
        return since.isCount(since.calls.fresh(), since.failed.fresh(), since.slow.fresh())
                && since.isCount(since.calls.old(), since.failed.old(), since.slow.old());
    }

    private boolean isCount(long all, long failures, long late) {
        return failures >= 0 && late >= 0 && all >= failures && all >= late && all < 10_000_000;
    }
}
