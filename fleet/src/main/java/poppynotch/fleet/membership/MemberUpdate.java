package poppynotch.fleet.membership;

/**
 * An update about one member, as members disseminate it. Immutable.
 *
 * @param name of the member
 * @param address where the member listens to others, IP:port
 * @param incarnation raised by the member itself, to refute an update, and by each new process of
 *     the name
 * @param run distinguishes one process of the name from the next; drawn at the process's start
 * @param state the state that the member is reported in
 * @param suspectedBy the member that suspects it first hand; empty if there is none
 * @param profile what the member says of itself; only if it is alive, or in a table exchange; else
 *     null
 * @param ageMs for how long it has been dead or gone, in a table exchange; else 0
 */
public record MemberUpdate(
        String name,
        String address,
        long incarnation,
        long run,
        MemberState state,
        String suspectedBy,
        MemberProfile profile,
        long ageMs) {

    /**
     * An incarnation above this is an error of the sender: a member that raised it once a
     * millisecond would need 34 years.
     */
    public static final long MAX_INCARNATION = 1L << 40;

    /** Three numbers of 9 bytes each, and the bytes that mark the fields. */
    private static final int MAX_ENCODED_BYTES_BESIDE_TEXTS = 37;

    /** Upper bound of the update's size on the wire, in bytes. */
    int maxEncodedBytes() {
        return MAX_ENCODED_BYTES_BESIDE_TEXTS
                + name.length()
                + address.length()
                + suspectedBy.length()
                + (profile == null ? 1 : profile.maxEncodedBytes());
    }

    /** Whether this is about a later incarnation or process of the name than another update. */
    boolean isLaterThan(MemberUpdate other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : run > other.run;
    }

    /** Whether both updates are about the same incarnation of the same process. */
    boolean isSameIncarnationAs(MemberUpdate other) {
        return incarnation == other.incarnation && run == other.run;
    }

    MemberUpdate withState(MemberState newState, String suspectedBy) {
        return new MemberUpdate(name, address, incarnation, run, newState, suspectedBy, profile, 0);
    }

    MemberUpdate withAgeMs(double newAgeMs) {
        return new MemberUpdate(
                name, address, incarnation, run, state, suspectedBy, profile, (long) newAgeMs);
    }

    /** The update as it is gossiped: without the profile, unless the member is alive. */
    MemberUpdate forGossip() {
        return state == MemberState.ALIVE || profile == null
                ? this
                : new MemberUpdate(name, address, incarnation, run, state, suspectedBy, null, 0);
    }
}
