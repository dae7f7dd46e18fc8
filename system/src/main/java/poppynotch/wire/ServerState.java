package poppynotch.wire;

/** The state of a model server. Its ordinal stands on the wire: the order must not change. */
public enum ServerState {
    /** It accepts requests. */
    READY,
    /** It completes its requests in flight and accepts no new ones. */
    DRAINING,
    /** It has announced its shutdown. Its id never comes back. */
    LEFT,
    /** Its registration was not renewed in time. It may come back. */
    EXPIRED
}
