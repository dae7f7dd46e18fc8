package poppynotch.fleet.membership;

/**
 * One claim about one member, as it passes from process to process.
 *
 * @param name the member's
 * @param address where it listens to the others, IP:port
 * @param incarnation grows when the member itself speaks against a claim, and with each process of
 *     the name
 * @param run tells one process of the name from the next; drawn at its start
 * @param state what is claimed
 * @param by who suspects it first hand; empty where nobody does
 * @param profile what it says of itself; only where it is alive, or in an exchange of whole tables;
 *     else null
 * @param ageMs how long it has been dead or gone, in an exchange of whole tables; else 0
 */
public record MemberUpdate(
        String name,
        String address,
        long incarnation,
        long run,
        MemberState state,
        String by,
        MemberProfile profile,
        long ageMs) {

    /**
     * Incarnations beyond this are a fault of whoever sends them: a member that speaks once a
     * millisecond needs 34 years.
     */
    public static final long MAX_INCARNATION = 1L << 40;

    /**
     * At most so many bytes on the wire: texts, three numbers of 9 bytes each, and the bytes that
     * mark them.
     */
    int maxEncodedBytes() {
        return 37
                + name.length()
                + address.length()
                + by.length()
                + (profile == null ? 1 : profile.maxEncodedBytes());
    }

    /**
     * Whether this is about a later process or incarnation than another claim about the same name.
     */
    boolean isLaterThan(MemberUpdate other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : run > other.run;
    }

    /** Whether both are about the same incarnation of the same process. */
    boolean isSameIncarnationAs(MemberUpdate other) {
        return incarnation == other.incarnation && run == other.run;
    }

    MemberUpdate withState(MemberState next, String accuser) {
        return new MemberUpdate(name, address, incarnation, run, next, accuser, profile, 0);
    }

    MemberUpdate withAgeMs(double ms) {
        return new MemberUpdate(name, address, incarnation, run, state, by, profile, (long) ms);
    }

    /** As it is told on: what others know already is left out. */
    MemberUpdate forGossip() {
        return state == MemberState.ALIVE || profile == null
                ? this
                : new MemberUpdate(name, address, incarnation, run, state, by, null, 0);
    }
}
