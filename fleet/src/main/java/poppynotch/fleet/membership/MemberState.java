package poppynotch.fleet.membership;

/**
 * State of a member. Of two updates about the same incarnation, the one whose state comes later in
 * this order overrides the other. The order is part of the wire format.
 */
public enum MemberState {
    /** The member answers probes, or has refuted a suspicion. */
    ALIVE,
    /**
     * Another member got no answer from this one, neither directly nor by indirect probes. The
     * suspected member has time to refute the suspicion.
     */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member announced that it leaves the fleet. */
    LEFT;

    /** Whether a member in this state belongs to the view. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
