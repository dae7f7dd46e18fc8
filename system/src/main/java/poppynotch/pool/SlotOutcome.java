package poppynotch.pool;

/** The outcome of the request that a slot was used for. */
public enum SlotOutcome {
    /** The server answered. */
    SERVED,
    /** The server answered with an error status. */
    ERROR_RESPONSE,
    /** The server answered that it is full and did not execute the request. */
    REJECTED,
    /** No connection to the server was established. */
    UNREACHABLE,
    /** The connection was closed before the response was complete, or the response was invalid. */
    INVALID_RESPONSE,
    /** The server sent nothing within the time limit. */
    TIMED_OUT,
    /** This edge or its client ended the request; the outcome is no evidence about the server. */
    CANCELLED
}
