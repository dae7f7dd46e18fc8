package poppynotch.balancer;

import java.util.SplittableRandom;

/**
 * Asks discovery for the list of servers at random times: balancers that start or fail together
 * must not ask together. After failed requests it backs off.
 */
final class ServerListRequester {

    /**
     * The first request after a failed one comes within this fraction of the usual time, later ones
     * within twice as long each. An update counts as announced a few seconds after it is there:
     * waits as long as those between requests that succeed would send calls to servers that are
     * gone by then.
     */
    private static final double RETRY_FRACTION = 0.05;

    private static final int MAX_DOUBLINGS = 3;

    /** Name of the timer for the next request. */
    private static final long REQUEST_TIMER = 1;

    private final CurrentSettings settings;
    private final BalancerActions host;
    private final SplittableRandom random;
    private int failures;

    ServerListRequester(CurrentSettings settings, BalancerActions host, long seed) {
        this.settings = settings;
        this.host = host;
        this.random = new SplittableRandom(seed);
    }

    /** Asks for the first list, if this balancer has to ask for it. */
    void start() {
        if (settings.get().mustRequestList()) {
            scheduleWithin(settings.get().rules().listRequestWithinMs() / 2);
        }
    }

    void onListReceived() {
        failures = 0;
    }

    void onRequestFailed() {
        failures++;
        scheduleWithin(
                settings.get().rules().listRequestWithinMs()
                        * RETRY_FRACTION
                        * (1 << Math.min(failures - 1, MAX_DOUBLINGS)));
    }

    /** A timer of the host has come due, perhaps the one for the next request. */
    void onTimer(long name) {
        if (name == REQUEST_TIMER) {
            host.subscribe();
        }
    }

    private void scheduleWithin(double withinMs) {
        host.startTimer(random.nextDouble() * withinMs, REQUEST_TIMER);
    }
}
