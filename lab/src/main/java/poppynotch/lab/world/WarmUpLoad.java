package poppynotch.lab.world;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The work that a warming-up model server was sent within the overload window, and whether it is
 * more than the server bears. Owned by one {@link ModelServer}, called on the day's thread.
 */
final class WarmUpLoad {

    /**
     * Of a budget of N requests, a server that is warming up bears twice the root of N and this
     * many more: chance brings them together.
     */
    private static final double SLACK_REQUESTS = 2;

    /** One request: its work, and whether its sidecar knew that the server had just started. */
    private record Arrival(double atMs, double workMs, boolean informed) {}

    private final double windowMs;
    private final double overloadMultiple;
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private double totalWorkMs;

    /**
     * A tracker without arrivals.
     *
     * @param windowMs the time over which arriving work is summed
     * @param overloadMultiple how many times its capacity the server may be sent
     */
    WarmUpLoad(double windowMs, double overloadMultiple) {
        this.windowMs = windowMs;
        this.overloadMultiple = overloadMultiple;
    }

    void clear() {
        arrivals.clear();
        totalWorkMs = 0;
    }

    /**
     * Records a request. If the server is overloaded by it, returns the fraction of the work in the
     * window that came from informed sidecars, otherwise empty.
     *
     * @param capacity core milliseconds a millisecond that the server can do at present
     */
    OptionalDouble add(double now, double workMs, boolean informed, double capacity) {
        arrivals.add(new Arrival(now, workMs, informed));
        totalWorkMs += workMs;
        while (!arrivals.isEmpty() && arrivals.peek().atMs() <= now - windowMs) {
            totalWorkMs -= arrivals.poll().workMs();
        }
        double budgetMs = overloadMultiple * capacity * windowMs;
        double meanMs = totalWorkMs / arrivals.size();
        double limitMs = budgetMs + meanMs * (SLACK_REQUESTS + 2 * Math.sqrt(budgetMs / meanMs));
        if (totalWorkMs > limitMs) {
            double informedMs =
                    arrivals.stream().filter(Arrival::informed).mapToDouble(Arrival::workMs).sum();
            return OptionalDouble.of(informedMs / totalWorkMs);
        }
        return OptionalDouble.empty();
    }
}
