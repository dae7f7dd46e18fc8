package poppynotch.pool;

/** The result of asking a {@link ServerPool} for a slot. */
public sealed interface AcquireResult {

    /** The lowest-ranked free slot is granted; the caller must release it. */
    record Granted(Slot slot) implements AcquireResult {}

    /** Servers may take the request, but all of them are ejected or have no free slot. */
    record Full() implements AcquireResult {}

    /** No server may take the request. */
    record NoServer() implements AcquireResult {}
}
