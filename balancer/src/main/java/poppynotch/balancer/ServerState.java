package poppynotch.balancer;

/** What discovery says of a server. */
public enum ServerState {
    GONE,
    READY,
    DRAINING
}
