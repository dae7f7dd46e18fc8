package poppynotch.simulation;

/**
 * Faults that are seeded into the control code's surroundings, to see that the checker finds them.
 */
public enum SeededDefect {
    /** The code as it is. */
    NONE,
    /** A core process vouches for its value without knowing what others have accepted. */
    VOUCH_WITHOUT_READ,
    /** A replica that has lost its disk votes at once, as if it had voted for nothing. */
    RECOVER_WITHOUT_COVER,
    /** Votes are answered before they are on disk. */
    ANSWER_BEFORE_SYNC,
    /** Two processes propose under the same ballots. */
    BALLOTS_NOT_UNIQUE,
    /** A change is acknowledged before anybody has accepted it. */
    ACKNOWLEDGED_BEFORE_QUORUM,
    /** A value is announced as chosen when it is only proposed. */
    ANNOUNCED_BEFORE_CHOSEN,
    /** The end of a server is not passed on, but acknowledged. */
    TOMBSTONE_DROPPED,
    /** A drain is acknowledged by a core process that nobody has heard. */
    DRAIN_HELD_BY_ONE,
    /** An edge takes whatever configuration it is told last. */
    EDGE_GOES_BACK,
    /** The configuration is read from memory instead of from a quorum. */
    READ_FROM_MEMORY,
    /** Only four changes are remembered. */
    HISTORY_OF_FOUR,
    /** Nobody gets the place of an acceptor that leaves or is gone. */
    PLACE_NEVER_HANDED_ON
}
