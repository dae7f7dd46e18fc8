package poppynotch.pool;

/** What came of asking a pool for a slot. */
public sealed interface AcquireResult {

    /** The lowest-ranked free slot. */
    record Granted(Slot slot) implements AcquireResult {}

    /** Every slot is busy, or held back. */
    record Full() implements AcquireResult {}

    /** No server is known that may take the call. */
    record Nobody() implements AcquireResult {}
}
