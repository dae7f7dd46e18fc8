package poppynotch.config;

import java.util.List;

/**
 * Where the requests with one host and path prefix are sent.
 *
 * @param name unique in the configuration
 * @param authority the host in lower case, without a port
 * @param pathPrefix ends with a slash
 * @param timeoutMs time in which a request must be answered if the client gives no deadline
 * @param targetLatencyMs latency target (SLO) of a request; 0 for none
 * @param priority 0 is the most urgent
 * @param backends services by weight; one with weight 1 where the route is not split
 * @param maxAttempts how many servers one request of a client may be sent to
 * @param anonymous whether requests need no API key
 * @param streamResume whether a broken stream of events may be resumed at another server
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
     * A service and the weight by which it gets the route's requests.
     *
     * @param backend name of the service
     */
    public record WeightedBackend(String backend, double weight) {}

    /** Whether a request that may have been executed may be executed again. */
    public boolean isIdempotent() {
        return type == RouteType.SAFE || (type == RouteType.STREAMING && streamResume);
    }
}
