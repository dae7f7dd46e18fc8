package poppynotch.simulation;

/**
 * One fault of a {@link FaultSchedule}; times are those of the virtual clock.
 *
 * @param startMs when it begins
 * @param kind what fails
 * @param target the index of the replica, server or edge among those that exist at that time
 * @param durationMs how long it lasts, or the time between the removal of a replaced replica and
 *     the addition of its successor
 */
public record FaultInjection(long startMs, Kind kind, int target, long durationMs) {

    /** The kinds of faults. Schedules draw from them by ordinal: their order must not change. */
    public enum Kind {
        /** A control-plane replica is partitioned from the other replicas. */
        CUT_CORE(true),
        /** A replica is partitioned from all other processes. */
        CUT_ALL(true),
        /** Messages from a replica to the other replicas are not delivered. */
        CUT_OUT(true),
        /** Messages from the other replicas to a replica are not delivered. */
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
        /** A replica is lost permanently; an empty one is added at another address. */
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
        /** A server announces its shutdown without draining first. */
        SERVER_ENDS(false),
        /** Operators submit configuration changes in quick succession. */
        STORM(false),
        /** As many replicas as are tolerated lose their disks, and all others lose power. */
        WIPE_AND_POWER_LOSS(false),
        /**
         * The same as {@link #WIPE_AND_POWER_LOSS}, at the next acknowledgement to an operator; the
         * replica that sent it is among those that lose their disks.
         */
        ORDER_THEN_WIPE_AND_POWER_LOSS(false),
        /** Any number of replicas are killed and restart at different times. */
        KILL_MANY(false),
        /** Any number of replicas are frozen and resume. */
        FREEZE_MANY(false),
        /** The disks of any number of replicas fail all writes. */
        DISK_FULL_MANY(false),
        /** All replicas and edges use up a CPU quota early in each period of 100 ms. */
        THROTTLE(false),
        /**
         * Operators keep the maximum number of changes in flight. Only part of {@link
         * FaultSchedule#drawLossesInTurn}.
         */
        FLOOD(false),
        /**
         * Operators roll out one version of the servers after the other from then on. Only part of
         * {@link FaultSchedule#drawWithRollouts}.
         */
        ROLLOUTS(false),
        /** An edge's process is frozen and resumes. */
        EDGE_FREEZE(false),
        /**
         * A server drains or announces its shutdown; at the acknowledgement all replicas are killed
         * and restart. Only part of {@link FaultSchedule#drawDepartures}.
         */
        SERVER_LEAVES_THEN_KILL_ALL(false),
        /**
         * The same as {@link #SERVER_LEAVES_THEN_KILL_ALL}, but as many replicas as are tolerated
         * lose their disks, the one that sent the acknowledgement among them.
         */
        SERVER_LEAVES_THEN_WIPE_AND_POWER_LOSS(false);

        private final boolean affectsOneReplica;

        Kind(boolean affectsOneReplica) {
            this.affectsOneReplica = affectsOneReplica;
        }

        /** Whether one control-plane replica counts as lost during the fault. */
        boolean affectsOneReplica() {
            return affectsOneReplica;
        }

        /** Whether a replica's disk is lost. */
        boolean losesDisk() {
            return switch (this) {
                case WIPE, REPLACE, REPLACE_PLANNED -> true;
                default -> losesDisksOfMany();
            };
        }

        /** Whether disks are lost while other replicas fail too; no other loss may overlap it. */
        boolean losesDisksOfMany() {
            return switch (this) {
                case BEHIND,
                                WIPE_AND_POWER_LOSS,
                                ORDER_THEN_WIPE_AND_POWER_LOSS,
                                SERVER_LEAVES_THEN_WIPE_AND_POWER_LOSS ->
                        true;
                default -> false;
            };
        }

        /** Whether more replicas may fail at once than are tolerated. */
        boolean affectsManyReplicas() {
            return switch (this) {
                case SPLIT,
                                KILL_ALL,
                                KILL_MANY,
                                FREEZE_MANY,
                                DISK_FULL_MANY,
                                SERVER_LEAVES_THEN_KILL_ALL ->
                        true;
                default -> losesDisksOfMany();
            };
        }
    }
}
