package poppynotch.simulation;

/**
 * The size of a simulated control plane.
 *
 * @param replicas how many control-plane replicas there are
 * @param toleratedLosses how many of them may be lost at once
 * @param quotaEdges how many edges there are in runs with {@link QuotaTraffic}
 */
public record ClusterSize(int replicas, int toleratedLosses, int quotaEdges) {

    /** Three replicas, of which one may be lost; all are needed as acceptors. */
    public static final ClusterSize THREE = new ClusterSize(3, 1, 6);

    /** Four replicas, of which one may be lost. */
    public static final ClusterSize FOUR = new ClusterSize(4, 1, 6);

    /** Five replicas, of which two may be lost; all are needed as acceptors. */
    public static final ClusterSize FIVE = new ClusterSize(5, 2, 6);

    /** Eight replicas, of which two may be lost. */
    public static final ClusterSize EIGHT = new ClusterSize(8, 2, 12);

    /** The cluster size for the schedule of a seed. */
    public static ClusterSize of(long seed) {
        return switch ((int) Math.floorMod(seed, 4)) {
            case 0 -> THREE;
            case 1 -> FIVE;
            case 2 -> FOUR;
            default -> EIGHT;
        };
    }
}
