package poppynotch.balancer;

/** Whether a request that may have run once already may be sent again. */
public enum Idempotency {
    /** Safe to repeat anywhere and at any time. */
    REPEATABLE,
    /** Repeats are dropped by one group of servers, for the class's deduplication window. */
    BY_KEY,
    /** Must never run twice. */
    ONCE
}
