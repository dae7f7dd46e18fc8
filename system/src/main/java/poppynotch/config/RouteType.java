package poppynotch.config;

/** The execution semantics of a route's requests. */
public enum RouteType {
    /** Idempotent: a request may be executed more than once. */
    SAFE,
    /** Not idempotent: a client request must be executed at most once. */
    UNSAFE,
    /** The response is an event stream; not idempotent unless streams may be resumed. */
    STREAMING
}
