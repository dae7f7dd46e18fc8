package poppynotch.pool;

/** What came of asking a pool for a slot. */
public sealed interface Acquired {

    /** The lowest-ranked free slot. */
    record Granted(Slot slot) implements Acquired {}

    /** Every slot is busy, or held back. */
    record Full() implements Acquired {}

    /** No server is known that may take the call. */
    record Nobody() implements Acquired {}
}
