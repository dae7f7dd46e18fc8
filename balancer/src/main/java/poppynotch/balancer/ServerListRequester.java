package poppynotch.balancer;

import java.util.SplittableRandom;

/**
 * Requests the server list from discovery after random delays, so that balancers that start or fail
 * together do not send requests together. Backs off after failed requests.
 */
final class ServerListRequester {

    /**
     * The maximum delay after a first failure, as a fraction of {@code listRequestWithinMs}; it
     * doubles with each further failure. Longer delays would send calls to servers that are already
     * gone: each update is expected to reach all balancers within a few seconds.
     */
    private static final double RETRY_FRACTION = 0.05;

    private static final int MAX_DOUBLINGS = 3;

    /** ID of the timer for the next request. */
    private static final long REQUEST_TIMER_ID = 1;

    private final CurrentSettings settings;
    private final BalancerActions host;
    private final SplittableRandom random;
    private int failures;

    ServerListRequester(CurrentSettings settings, BalancerActions host, long seed) {
        this.settings = settings;
        this.host = host;
        this.random = new SplittableRandom(seed);
    }

    /** Schedules the first request, unless the list is pushed. */
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

    /** Sends the next request if the expired timer is the one for it. */
    void onTimer(long timerId) {
        if (timerId == REQUEST_TIMER_ID) {
            host.subscribe();
        }
    }

    private void scheduleWithin(double withinMs) {
        host.startTimer(random.nextDouble() * withinMs, REQUEST_TIMER_ID);
    }
}
