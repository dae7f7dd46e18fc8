package poppynotch.simulation;

/**
 * Defects that a run adds around the real control-plane code, to verify that the checker finds
 * them. The names are values of a command-line option.
 */
public enum SeededDefect {
    /** The code without a defect. */
    NONE,
    /** A replica confirms its value as current regardless of what others have accepted. */
    VOUCH_WITHOUT_READ,
    /** A replica that has lost its disk votes at once, as if it had promised nothing. */
    RECOVER_WITHOUT_COVER,
    /** Acceptors reply before their state is on disk. */
    ANSWER_BEFORE_SYNC,
    /** Several processes propose under the same ballots. */
    BALLOTS_NOT_UNIQUE,
    /** A change is acknowledged before any acceptor has accepted it. */
    ACKNOWLEDGED_BEFORE_QUORUM,
    /** A value is announced as chosen when it has only been proposed. */
    ANNOUNCED_BEFORE_CHOSEN,
    /** The shutdown of a server is acknowledged, but not replicated. */
    TOMBSTONE_DROPPED,
    /** Replicas acknowledge drains and removals of servers before these are on their disks. */
    DEPARTURE_ACKNOWLEDGED_BEFORE_SYNC,
    /** A drain is acknowledged by a replica that has not replicated it. */
    DRAIN_HELD_BY_ONE,
    /** An edge applies every configuration that it receives, also an older one. */
    EDGE_GOES_BACK,
    /** The configuration is read from memory instead of from a quorum. */
    READ_FROM_MEMORY,
    /** The change history keeps only four entries. */
    HISTORY_OF_FOUR,
    /** An acceptor that shuts down or is lost is never replaced. */
    PLACE_NEVER_HANDED_ON,
    /** Changes are acknowledged while the founders' set is too small to tolerate the losses. */
    ACKNOWLEDGED_BY_FOUNDERS,
    /**
     * A change of the acceptor set is applied to any set, not only to the one it was planned for.
     */
    SET_CHANGE_OF_ANY_SET,
    /**
     * A replica that has lost its disk requests promises only every 500 ms, with a ballot no higher
     * than the next one of any proposer.
     */
    RECOVERY_STARVES,
    /** Each edge uses the whole attempt budget of a rollout, which all edges are to share. */
    EXPOSURE_COUNTED_BY_EACH_EDGE,
    /** A rollout request is acknowledged before any acceptor has accepted it. */
    ORDER_ACKNOWLEDGED_FROM_MEMORY,
    /** Edges report old servers as drained while attempts to them are in flight. */
    DONE_BEFORE_DRAINED,
    /** A configuration change drops the rollouts. */
    ROLLOUTS_LOST_BY_CONFIG_CHANGE;

    /** Whether only runs with rollouts can reveal the defect. */
    public boolean concernsRollouts() {
        return ordinal() >= EXPOSURE_COUNTED_BY_EACH_EDGE.ordinal();
    }
}
