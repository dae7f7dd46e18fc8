package poppynotch.balancer;

/** Which servers drop repeats of an {@link Idempotency#BY_KEY} request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
