package poppynotch.balancer;

/** What discovery has sent. */
public enum ServerListKind {
    /** A complete list, perhaps out of date. */
    CACHED,
    /** A complete list. */
    FULL,
    /** Entries that have changed. */
    DELTA,
    /** Nothing: the request failed. */
    FAILED
}
