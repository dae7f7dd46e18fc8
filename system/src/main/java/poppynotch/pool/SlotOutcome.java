package poppynotch.pool;

/** How the use of a slot ended. */
public enum SlotOutcome {
    /** The server answered. */
    SERVED,
    /** The server answered with an error status. */
    ERROR,
    /** The server answered that it did not execute the request, as it is full. */
    REFUSED,
    /** No connection to the server was established. */
    UNREACHABLE,
    /** The connection was closed before the response was complete, or the response was invalid. */
    FAILED,
    /** The server sent nothing for too long. */
    SILENT,
    /** The request was ended by this side, which says nothing about the server. */
    CANCELLED
}
