package poppynotch.canary;

/**
 * One count for each of two versions of a service, such as ended calls or faults. Immutable.
 *
 * @param canary the count of the new version
 * @param baseline the count of the old version
 */
public record VersionCounts(long canary, long baseline) {

    /** Both counts are 0. */
    public static final VersionCounts NONE = new VersionCounts(0, 0);

    /** Returns these counts with the count of one version increased by 1. */
    public VersionCounts incremented(boolean isCanary) {
        return new VersionCounts(canary + (isCanary ? 1 : 0), baseline + (isCanary ? 0 : 1));
    }

    /** Returns the difference between these counts and others, for each version. */
    public VersionCounts minus(VersionCounts other) {
        return new VersionCounts(canary - other.canary, baseline - other.baseline);
    }

    /** Returns the sum of these counts and others, for each version. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(canary + other.canary, baseline + other.baseline);
    }
}
