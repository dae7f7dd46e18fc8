package poppynotch.simulation;

/**
 * Something that happens to the machines.
 *
 * @param atMs when it begins
 * @param kind what it is
 * @param target which machine, as a number among those there are then
 * @param forMs how long it lasts, or the time to the successor of a machine that is replaced
 */
public record FaultInjection(long atMs, Kind kind, int target, long forMs) {

    /** What can happen. */
    public enum Kind {
        /** A core machine is cut off from the other core machines. */
        CUT_CORE(true),
        /** A core machine is cut off from everything. */
        CUT_ALL(true),
        /** What a core machine sends to other core machines does not arrive. */
        CUT_OUT(true),
        /** What other core machines send to one does not arrive. */
        CUT_IN(true),
        /** A core process stands still. */
        FREEZE(true),
        /** A core process is killed and starts again. */
        KILL(true),
        /** A core machine loses its disk and starts again. */
        WIPE(true),
        /** A disk is slow. */
        DISK_SLOW(true),
        /** A disk answers nothing. */
        DISK_STALL(true),
        /** A disk takes nothing. */
        DISK_FULL(true),
        /** A core machine is gone for good; an empty one comes at another address. */
        REPLACE(true),
        /** An empty core machine comes, then one is told to end and is gone for good. */
        REPLACE_PLANNED(true),
        /** A core process is told to end, and starts again. */
        TERMINATE(true),
        /** A server says that it ends, and the core process that acknowledges it is killed. */
        SERVER_ENDS_THEN_KILL(true),
        /** The core process that acknowledges the next order is killed. */
        ORDER_THEN_KILL(true),
        /** Half of the core machines are cut off from the other half. */
        SPLIT(false),
        /** All core processes are killed and start again. */
        KILL_ALL(false),
        /**
         * A core machine is cut off and misses changes; then another one loses its disk, all others
         * are killed, and the cut heals.
         */
        BEHIND(false),
        /** An edge is killed and starts again with other seeds. */
        EDGE_KILL(false),
        /** An edge is cut off from all core machines. */
        EDGE_CUT(false),
        /** A server drains. */
        DRAIN(false),
        /** A server says that it ends, and has said nothing before. */
        SERVER_ENDS(false),
        /** Changes come in quick succession. */
        STORM(false);

        private final boolean loses;

        Kind(boolean loses) {
            this.loses = loses;
        }

        /** Whether one core machine counts as lost meanwhile. */
        boolean losesMachine() {
            return loses;
        }

        /** Whether a disk is lost. */
        boolean losesDisk() {
            return this == WIPE || this == REPLACE || this == REPLACE_PLANNED || this == BEHIND;
        }

        /** Whether all core machines, or half of them, are in trouble. */
        boolean isOfAll() {
            return this == SPLIT || this == KILL_ALL || this == BEHIND;
        }
    }
}
