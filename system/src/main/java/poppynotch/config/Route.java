package poppynotch.config;

import java.util.List;

/**
 * Where requests of one host and path prefix go.
 *
 * @param authority host, in lower case, without a port
 * @param backends services by weight; one with weight 1 where the route is not split
 * @param maxAttempts servers that one try of a client may be sent to
 * @param priority 0 is the most urgent
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
        long gapAimMs) {

    /** A share of a route's requests. */
    public record WeightedBackend(String backend, double weight) {}

    /** Whether a request that may have run may be run again. */
    public boolean isIdempotent() {
        return type == RouteType.SAFE || type == RouteType.STREAMING && streamResume;
    }
}
