package poppynotch.config;

import java.util.List;

/**
 * Routes the requests with one host and path prefix to services.
 *
 * @param name unique in the configuration
 * @param authority host name in lower case, without a port
 * @param pathPrefix ends with a slash
 * @param timeoutMs maximum time for a response; clients may state a shorter one
 * @param targetLatencyMs latency target (SLO) of a request; 0 for none
 * @param priority 0 is the most urgent
 * @param backends services with their weights; a single one of weight 1 if the route is not split
 * @param maxAttempts maximum number of servers to which one client request is sent
 * @param anonymous whether requests need no API key
 * @param streamResume whether an interrupted event stream may be resumed on another server
 * @param eventGapTargetMs target for the time between two events of a stream; 0 for none
 */
public record Route(
        String name,
        String authority,
        String pathPrefix,
        RouteType type,
        long timeoutMs,
        long targetLatencyMs,
        int priority,
        List<WeightedBackend> backends,
        int maxAttempts,
        boolean anonymous,
        boolean streamResume,
        long eventGapTargetMs) {

    /**
     * A service and its weight, which determines its share of the route's requests.
     *
     * @param backend name of the service
     */
    public record WeightedBackend(String backend, double weight) {}

    /** Whether a request may be retried after it may have been executed. */
    public boolean isIdempotent() {
        return type == RouteType.SAFE || (type == RouteType.STREAMING && streamResume);
    }
}
