package poppynotch.balancer;

/** The state of a server, as discovery announces it. */
public enum ServerState {
    GONE,
    READY,
    DRAINING
}
