package poppynotch.config;

/** What may be done with the requests of a route. */
public enum RouteType {
    /** May run more than once. */
    SAFE,
    /** May run once for each try of a client. */
    UNSAFE,
    /** Answered by a series of events; unsafe unless the route may be resumed. */
    STREAMING
}
