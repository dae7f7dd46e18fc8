package poppynotch.balancer;

/** The kind of a message from discovery. */
public enum ServerListKind {
    /** A complete list, perhaps out of date. */
    CACHED,
    /** A complete list. */
    FULL,
    /** Entries that have changed. */
    DELTA,
    /** No list: the request failed. */
    FAILED
}
