package poppynotch.balancer;

/** Which servers drop the repeats of a {@link Idempotency#BY_KEY} request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
