package poppynotch.fleet.membership;

/**
 * What is held of a member; of two claims about the same incarnation the later one in this order
 * counts.
 */
public enum MemberState {
    /** It answers, or says so itself. */
    ALIVE,
    /**
     * Somebody got no answer from it, also not by way of others; it has time to say that it lives.
     */
    SUSPECT,
    /** It did not say so in time. */
    DEAD,
    /** It said itself that it goes. */
    LEFT;

    /** Whether a member in this state belongs to the view. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
