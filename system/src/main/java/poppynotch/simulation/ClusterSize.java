package poppynotch.simulation;

/**
 * The size of a core.
 *
 * @param cores core machines
 * @param tolerated how many of them may be lost at once
 * @param quotaEdges edges where the schedule is about quotas
 */
public record ClusterSize(int cores, int tolerated, int quotaEdges) {

    /** Three machines, of which one may be lost: there is no spare one. */
    public static final ClusterSize THREE = new ClusterSize(3, 1, 6);

    /** Four machines, of which one may be lost. */
    public static final ClusterSize FOUR = new ClusterSize(4, 1, 6);

    /** Eight machines, of which two may be lost. */
    public static final ClusterSize EIGHT = new ClusterSize(8, 2, 12);

    /** The size that a schedule is for. */
    public static ClusterSize of(long seed) {
        return switch ((int) Math.floorMod(seed, 4)) {
            case 0, 1 -> THREE;
            case 2 -> FOUR;
            default -> EIGHT;
        };
    }
}
