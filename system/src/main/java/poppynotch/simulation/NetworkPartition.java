package poppynotch.simulation;

import java.util.List;

/**
 * A partition that blocks the links between two groups of processes. A link may be part of several
 * partitions, and is open again once all of them are healed.
 *
 * @param near names of the processes on one side
 * @param far names of the processes on the other side
 */
record NetworkPartition(
        VirtualNetwork network, List<String> near, List<String> far, Direction direction) {

    /** Which messages are blocked. */
    enum Direction {
        BOTH(true, true),
        NEAR_TO_FAR(true, false),
        FAR_TO_NEAR(false, true);

        private final boolean blocksNearToFar;
        private final boolean blocksFarToNear;

        Direction(boolean blocksNearToFar, boolean blocksFarToNear) {
            this.blocksNearToFar = blocksNearToFar;
            this.blocksFarToNear = blocksFarToNear;
        }
    }

    private interface LinkAction {
        void apply(String from, String to);
    }

    void start() {
        forEachLink(network::block);
    }

    void heal() {
        forEachLink(network::unblock);
    }

    private void forEachLink(LinkAction action) {
        for (String one : near) {
            for (String other : far) {
                if (direction.blocksNearToFar) {
                    action.apply(one, other);
                }
                if (direction.blocksFarToNear) {
                    action.apply(other, one);
                }
            }
        }
    }
}
