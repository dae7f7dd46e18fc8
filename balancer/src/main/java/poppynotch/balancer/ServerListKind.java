package poppynotch.balancer;

/** What kind of list discovery has sent. */
public enum ServerListKind {
    CACHED,
    FULL,
    DELTA,
    FAILED
}
