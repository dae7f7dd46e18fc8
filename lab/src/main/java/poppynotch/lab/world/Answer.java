package poppynotch.lab.world;

/**
 * The answer that a caller gets to a request.
 *
 * @param kind what it is
 * @param retryAfterMs how long the caller is asked to wait before a retry, or 0
 */
public record Answer(Kind kind, double retryAfterMs) {

    /** The kinds of answers. */
    public enum Kind {
        /** A model server's answer, unchanged. */
        SERVED,
        /** Rejected: a retry is harmless. */
        REFUSED,
        /** Failed. */
        FAILED,
        /** No connection came up, so that the request was not accepted. */
        UNREACHABLE,
        /** The connection broke before a complete answer. */
        BROKEN,
        /** Passed off as served, but no model server made it for this request. */
        FALSE
    }

    /** An answer that asks for no pause. */
    public static Answer of(Kind kind) {
        return new Answer(kind, 0);
    }
}
