package poppynotch.simulation;

/**
 * The size of a core.
 *
 * @param cores core machines
 * @param tolerated how many of them may be lost at once
 * @param quotaEdges edges where the schedule is about quotas
 */
public record Size(int cores, int tolerated, int quotaEdges) {

    /** Three machines, of which one may be lost: there is no spare one. */
    public static final Size THREE = new Size(3, 1, 6);

    /** Four machines, of which one may be lost. */
    public static final Size FOUR = new Size(4, 1, 6);

    /** Eight machines, of which two may be lost. */
    public static final Size EIGHT = new Size(8, 2, 12);

    /** The size that a schedule is for. */
    public static Size of(long seed) {
        return switch ((int) Math.floorMod(seed, 4)) {
            case 0, 1 -> THREE;
            case 2 -> FOUR;
            default -> EIGHT;
        };
    }
}
