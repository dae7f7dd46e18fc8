package poppynotch.simulation;

/**
 * One fault of a {@link FaultSchedule}, in milliseconds of the virtual clock.
 *
 * @param startMs when it begins
 * @param kind what fails
 * @param target which replica, server or edge, as a number among those there are at that time
 * @param durationMs how long it lasts, or the time to the successor of a replica that is replaced
 */
public record FaultInjection(long startMs, Kind kind, int target, long durationMs) {

    /** The kinds of faults. Schedules draw from them by ordinal: their order must not change. */
    public enum Kind {
        /** A control-plane replica is partitioned from the other replicas. */
        CUT_CORE(true),
        /** A replica is partitioned from all other processes. */
        CUT_ALL(true),
        /** What a replica sends to other replicas does not arrive. */
        CUT_OUT(true),
        /** What other replicas send to one does not arrive. */
        CUT_IN(true),
        /** A replica's process is frozen and resumes. */
        FREEZE(true),
        /** A replica's process is killed and restarts. */
        KILL(true),
        /** A replica loses its disk and restarts. */
        WIPE(true),
        /** A replica's disk is slow. */
        DISK_SLOW(true),
        /** A replica's disk completes no write. */
        DISK_STALL(true),
        /** A replica's disk fails all writes. */
        DISK_FULL(true),
        /** A replica is lost for good; an empty one is added at another address. */
        REPLACE(true),
        /** An empty replica is added, then one is shut down gracefully and removed. */
        REPLACE_PLANNED(true),
        /** A replica's process is shut down gracefully and restarts. */
        TERMINATE(true),
        /** A server announces its shutdown, and the replica that acknowledges it is killed. */
        SERVER_ENDS_THEN_KILL(true),
        /** The replica that acknowledges the next configuration change is killed. */
        ORDER_THEN_KILL(true),
        /** Half of the replicas are partitioned from the other half. */
        SPLIT(false),
        /** All replicas are killed and restart. */
        KILL_ALL(false),
        /**
         * A replica is partitioned and misses changes; then another one loses its disk, all others
         * are killed, and the partition heals.
         */
        BEHIND(false),
        /** An edge is killed and restarts with other seeds. */
        EDGE_KILL(false),
        /** An edge is partitioned from all replicas. */
        EDGE_CUT(false),
        /** A server drains. */
        DRAIN(false),
        /** A server announces its shutdown without a drain before. */
        SERVER_ENDS(false),
        /** Configuration changes come in quick succession. */
        STORM(false);

        private final boolean affectsOneReplica;

        Kind(boolean affectsOneReplica) {
            this.affectsOneReplica = affectsOneReplica;
        }

        /** Whether one control-plane replica counts as lost meanwhile. */
        boolean affectsOneReplica() {
            return affectsOneReplica;
        }

        /** Whether a replica's disk is lost. */
        boolean losesDisk() {
            return this == WIPE || this == REPLACE || this == REPLACE_PLANNED || this == BEHIND;
        }

        /** Whether all replicas, or half of them, fail at once. */
        boolean affectsManyReplicas() {
            return this == SPLIT || this == KILL_ALL || this == BEHIND;
        }
    }
}
