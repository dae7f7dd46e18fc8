package poppynotch.pool;

/** How the use of a slot ended. */
public enum SlotOutcome {
    /** The server answered. */
    SERVED,
    /** The server answered with an error status. */
    ERROR_RESPONSE,
    /** The server answered that it did not execute the request, as it is full. */
    REJECTED,
    /** No connection to the server was established. */
    UNREACHABLE,
    /** The connection was closed before the response was complete, or the response was invalid. */
    INVALID_RESPONSE,
    /** The server sent nothing for too long. */
    TIMED_OUT,
    /** The request was ended by this side, which says nothing about the server. */
    CANCELLED
}
