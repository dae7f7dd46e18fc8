package poppynotch.pool;

/** How the use of a slot ended. */
public enum SlotOutcome {
    /** The server answered. */
    SERVED,
    /** The server answered that it failed. */
    ERROR,
    /** The server said that it did not run the call as it is full. */
    REFUSED,
    /** No connection came up. */
    UNREACHABLE,
    /** The connection ended, or what came was no answer, or the server said that it failed. */
    FAILED,
    /** Nothing came for too long. */
    SILENT,
    /** This side left: it says nothing about the server. */
    CANCELLED
}
