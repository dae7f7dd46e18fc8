package poppynotch.wire;

/** What may be done with a server. */
public enum ServerState {
    /** It takes requests. */
    READY,
    /** It ends what it has and takes nothing new. */
    DRAINING,
    /** It has said that it ends. Its id never comes back. */
    LEFT,
    /** Nothing was heard of it for too long. It may come back. */
    EXPIRED
}
