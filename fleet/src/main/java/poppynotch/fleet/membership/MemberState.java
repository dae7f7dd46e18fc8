package poppynotch.fleet.membership;

/**
 * State of a member. Of two updates about the same incarnation, the one whose state comes later in
 * this order overrides the other. The order is part of the wire format.
 */
public enum MemberState {
    /** It answers probes, or refuted a suspicion. */
    ALIVE,
    /**
     * A member got no answer from it, neither directly nor by indirect probes; it has time to
     * refute the suspicion.
     */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    DEAD,
    /** It announced itself that it leaves. */
    LEFT;

    /** Whether a member in this state belongs to the view. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
