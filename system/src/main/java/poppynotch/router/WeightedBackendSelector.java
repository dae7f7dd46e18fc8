package poppynotch.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.config.Route;

/**
 * Selects a backend for each request of a route with weighted backends, so that the backends'
 * shares of the requests of all edges follow the weights even over few requests.
 *
 * <p>Each request of a route takes the next point of an additive recurrence on the unit interval
 * whose step is the golden ratio, so that any run of consecutive points is evenly distributed. The
 * edges' start points are a van der Corput sequence of the edge numbers, so that edges with few
 * requests each still cover the interval together. The interval is divided into one part per
 * backend, in proportion to the weights, and the point selects the backend. Weights and edge
 * numbers may change at any time: the points do not depend on the weights, and a new edge number
 * only shifts them.
 *
 * <p>Owned by {@link FleetState}; used on the edge's event loop only.
 */
final class WeightedBackendSelector {

    /** The fractional part of the golden ratio in units of 2^-64, in which points are stored. */
    private static final long STEP = 0x9E3779B97F4A7C15L;

    /** The number of bits of a fraction that a double represents exactly. */
    private static final int DOUBLE_PRECISION_BITS = 53;

    /** The number of requests of each route at this edge. */
    private final Map<String, Long> requestCounts = new HashMap<>();

    private long edgeOffset;

    /** Sets the index of this edge among all edges, starting at 0. */
    void setEdgeNumber(int number) {
        edgeOffset = (long) Integer.reverse(number) << Integer.SIZE;
    }

    /** Removes the state of all routes but these. */
    void retainRoutes(Set<String> names) {
        requestCounts.keySet().retainAll(names);
    }

    /** Selects the backend for the next request of a route. */
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
        // Rounding errors may leave a remainder after the last weight.
        return candidates.get(candidates.size() - 1).backend();
    }

    /** The next point of a route's sequence, in the range [0, 1). */
    private double nextPoint(String routeName) {
        long count = requestCounts.merge(routeName, 1L, Long::sum);
        long routeOffset = (long) routeName.hashCode() << Integer.SIZE;
        long point = edgeOffset + routeOffset + count * STEP;
        return (point >>> (Long.SIZE - DOUBLE_PRECISION_BITS)) * 0x1.0p-53;
    }
}
