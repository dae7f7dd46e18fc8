package poppynotch.lab.world;

/**
 * What a caller gets for a request.
 *
 * @param kind what it is
 * @param retryAfterMs how long the caller is asked to stay away, or 0
 */
public record Answer(Kind kind, double retryAfterMs) {

    /** The kinds of answers. */
    public enum Kind {
        /** A model server's answer, unchanged. */
        SERVED,
        /** Turned away: asking again is harmless. */
        REFUSED,
        /** Failed. */
        FAILED,
        /** No connection came up, so that the request was not taken. */
        UNREACHABLE,
        /** The connection broke before a whole answer. */
        BROKEN,
        /** Passed off as served, but no model server made it for this request. */
        FALSE
    }

    /** An answer that asks for no pause. */
    public static Answer of(Kind kind) {
        return new Answer(kind, 0);
    }
}
