package poppynotch.wire;

/** The state of a model server. Ordinals are used on the wire, so the order must not change. */
public enum ServerState {
    /** The server accepts requests. */
    READY,
    /** The server completes its requests in flight and accepts no new ones. */
    DRAINING,
    /** The server has announced its shutdown. Its id is never used again. */
    LEFT,
    /** The registration was not renewed in time. The server may register again. */
    EXPIRED
}
