package poppynotch.pool;

/** The result of asking a {@link ServerPool} for a slot. */
public sealed interface AcquireResult {

    /** The lowest-ranked free slot, which the caller must release. */
    record Granted(Slot slot) implements AcquireResult {}

    /** There are servers that may take the request, but all their slots are in use or ejected. */
    record Full() implements AcquireResult {}

    /** There is no server that may take the request. */
    record NoServer() implements AcquireResult {}
}
