package poppynotch.config;

/** How the requests of a route may be executed. */
public enum RouteType {
    /** Idempotent: may be executed more than once. */
    SAFE,
    /** May be executed once for each request of a client. */
    UNSAFE,
    /** Answered by a stream of events; not idempotent unless the route's streams can resume. */
    STREAMING
}
