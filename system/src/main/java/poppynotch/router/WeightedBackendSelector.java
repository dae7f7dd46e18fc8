package poppynotch.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.config.Route;

/**
 * Chooses a backend for each request of a route with weighted backends, so that the backends'
 * shares of the requests of all edges follow the weights, also over few requests.
 *
 * <p>Each request of a route takes the next point of an additive recurrence on the unit interval,
 * whose step is the golden ratio: any run of consecutive points is spread evenly. Edges begin at
 * points that are spread by their numbers (a van der Corput sequence), so that edges with a few
 * requests each cover the interval together. The request goes to the backend in whose part of the
 * interval, as long as its weight, the point lies. Weights and numbers of edges may change at any
 * time, as points do not depend on the former and only move with the latter.
 *
 * <p>Owned by {@link FleetState}; used on the edge's event loop only.
 */
final class WeightedBackendSelector {

    /** The golden ratio's fractional part, as a fraction of 2^64, in which points are counted. */
    private static final long STEP = 0x9E3779B97F4A7C15L;

    /** So many bits of a fraction a double holds. */
    private static final int DOUBLE_PRECISION_BITS = 53;

    /** How many requests each route has had here. */
    private final Map<String, Long> requestCounts = new HashMap<>();

    private long edgeOffset;

    /** Sets this edge's number among all edges, from 0 on. */
    void setEdgeNumber(int number) {
        edgeOffset = (long) Integer.reverse(number) << Integer.SIZE;
    }

    /** Forgets all routes but these. */
    void retainRoutes(Set<String> names) {
        requestCounts.keySet().retainAll(names);
    }

    /** The backend for the next request of a route. */
    String select(Route route) {
        List<Route.WeightedBackend> candidates = route.backends();
        if (candidates.size() == 1) {
            return candidates.get(0).backend();
        }
        double totalWeight = candidates.stream().mapToDouble(Route.WeightedBackend::weight).sum();
        double remaining = nextPoint(route.name()) * totalWeight;
        for (Route.WeightedBackend candidate : candidates) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.backend();
            }
        }
        // Rounding may leave a rest behind the last weight.
        return candidates.get(candidates.size() - 1).backend();
    }

    /** The next point of a route's sequence, from 0 to below 1. */
    private double nextPoint(String routeName) {
        long count = requestCounts.merge(routeName, 1L, Long::sum);
        long routeOffset = (long) routeName.hashCode() << Integer.SIZE;
        long point = edgeOffset + routeOffset + count * STEP;
        return (point >>> (Long.SIZE - DOUBLE_PRECISION_BITS)) * 0x1.0p-53;
    }
}
