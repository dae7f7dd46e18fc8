package poppynotch.fleet.membership;

/**
 * An update about one member, as members disseminate it. Immutable.
 *
 * @param name name of the member
 * @param address where the member listens to others, IP:port
 * @param incarnation raised by the member itself to refute an update, and by each new process that
 *     takes the name
 * @param run random id of the process, drawn at its start; distinguishes processes of one name
 * @param state the state that the member is reported in
 * @param suspectedBy the member that suspects it by its own probes, or declared it dead; empty if
 *     there is none
 * @param profile the member's profile if it is alive, or in a table exchange; else null
 * @param ageMs in a table exchange, for how long the member has been dead or left; else 0
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
     * Maximum valid incarnation; a higher one is an error of the sender. A member that raised it
     * once a millisecond would need 34 years to exceed this.
     */
    public static final long MAX_INCARNATION = 1L << 40;

    /** Maximum encoded size without the strings: 3 integers of 9 bytes each, keys and headers. */
    private static final int MAX_ENCODED_BYTES_WITHOUT_STRINGS = 37;

    /** Upper bound of the update's size on the wire, in bytes. */
    int maxEncodedBytes() {
        return MAX_ENCODED_BYTES_WITHOUT_STRINGS
                + name.length()
                + address.length()
                + suspectedBy.length()
                + (profile == null ? 1 : profile.maxEncodedBytes());
    }

    /** Whether this is about a later incarnation, or a later process of the name, than another. */
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
