package poppynotch.fleet.lease;

/**
 * One entry of the keepers' log.
 *
 * @param kind what is asked for
 * @param duty which duty
 * @param member who asks, or for a move, who is to have it next (empty for nobody)
 * @param run which process of that name
 * @param token of an earlier grant, for all but {@link Kind#ACQUIRE} and {@link Kind#MOVE}
 * @param renewal of {@link Kind#EXPIRE}: the renewal that nothing has followed
 */
public record LeaseCommand(
        Kind kind, String duty, String member, long run, long token, long renewal) {

    /** What can be asked for. */
    public enum Kind {
        /** To have a duty; for whoever has it already, a renewal. */
        ACQUIRE,
        /** To go on having it. */
        RENEW,
        /** To have it no longer. */
        RELEASE,
        /** By the leader alone: the holder's time is over. */
        EXPIRE,
        /** By operators: the holder is to give it up, to another. */
        MOVE,
        /** Nothing but to be told what is. */
        LOOK
    }

    /** The longest name of a duty. */
    public static final int LONGEST = 48;

    /** A request to have a duty. */
    public static LeaseCommand acquire(String duty, String member, long run) {
        return new LeaseCommand(Kind.ACQUIRE, duty, member, run, 0, 0);
    }
}
