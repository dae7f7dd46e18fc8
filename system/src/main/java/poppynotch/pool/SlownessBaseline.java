package poppynotch.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides whether a response began much later than usual for its route. The time allows for the
 * prefill of the prompt, which takes long at servers with an empty cache. The usual time is learned
 * from the serving version.
 *
 * <p>Owned by {@link RolloutOutcomes}.
 */
final class SlownessBaseline {

    /** The multiple of the usual time after which a response is slow. */
    private static final double SLOW_FACTOR = 3;

    /** The time before which a response is never slow. */
    private static final double MIN_SLOW_MS = 60;

    /** The nominal time that ratios refer to: a fixed time, and the prefill at a fixed rate. */
    private static final double NOMINAL_MS = 50;

    private static final double NOMINAL_TOKENS_PER_MS = 40;

    /** The weight of one response in the moving average of a route's ratio. */
    private static final double RATIO_GAIN = 0.03;

    private static final int MAX_ROUTES = 1024;

    private record RouteKey(String backend, String route) {}

    /** The usual ratio of the time to the first response to the nominal time. */
    private final Map<RouteKey, Double> usualRatios = new HashMap<>();

    /**
     * Returns whether an attempt was slow. Empty if it ended without a response, and either the
     * usual time of its route is not known yet or the attempt ended too early to be slow.
     *
     * @param updatesBaseline whether to learn the usual time from the attempt
     */
    Optional<Boolean> isSlow(EndedAttempt attempt, boolean updatesBaseline) {
        double nominalMs = NOMINAL_MS + attempt.uncachedTokens() / NOMINAL_TOKENS_PER_MS;
        RouteKey key = new RouteKey(attempt.backend(), attempt.route());
        Double usualRatio = usualRatios.get(key);
        if (updatesBaseline && attempt.hasResponse()) {
            learn(key, attempt.firstResponseMs() / nominalMs);
        }
        if (usualRatio == null) {
            return attempt.hasResponse() ? Optional.of(false) : Optional.empty();
        }
        double slowMs = Math.max(MIN_SLOW_MS, SLOW_FACTOR * usualRatio * nominalMs);
        if (attempt.hasResponse()) {
            return Optional.of(attempt.firstResponseMs() > slowMs);
        }
        return attempt.elapsedMs() > slowMs ? Optional.of(true) : Optional.empty();
    }

    private void learn(RouteKey key, double ratio) {
        Double usualRatio = usualRatios.get(key);
        if (usualRatio == null && usualRatios.size() >= MAX_ROUTES) {
            usualRatios.clear();
        }
        usualRatios.put(
                key, usualRatio == null ? ratio : usualRatio + RATIO_GAIN * (ratio - usualRatio));
    }
}
