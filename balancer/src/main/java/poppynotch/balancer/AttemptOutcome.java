package poppynotch.balancer;

/** How an attempt ended. */
public enum AttemptOutcome {
    OK,
    FAILED,
    QUEUE_FULL,
    TIMED_OUT,
    CONNECT_ERROR,
    RESET,
    CANCELED,
    IGNORED;

    /** Whether this outcome proves that the server never started to process the request. */
    public boolean neverRan() {
        return this == QUEUE_FULL || this == CONNECT_ERROR || this == IGNORED;
    }
}
