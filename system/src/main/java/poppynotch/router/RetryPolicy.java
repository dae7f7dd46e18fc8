package poppynotch.router;

import poppynotch.config.Route;

/**
 * Decides whether one request may be sent to a further server: by the route's number of attempts,
 * the time that remains, and the retry budget of the backend. One instance per {@link
 * RequestExchange}, used on the edge's event loop only.
 */
final class RetryPolicy {

    /** Servers that could not be reached do not count as attempts; at most so many are skipped. */
    private static final int MAX_UNREACHABLE_SERVERS = 4;

    /** With less time than this left, no further attempt is made. */
    private static final long MIN_REMAINING_MS = 30;

    private final FleetState fleetState;
    private final Route route;
    private final String backend;
    private final long deadlineMs;
    private int attempts;
    private int unreachableServers;

    /**
     * A policy for a request that has not been sent yet.
     *
     * @param deadlineMs when the client stops waiting, on the edge's monotonic clock
     */
    RetryPolicy(FleetState fleetState, Route route, String backend, long deadlineMs) {
        this.fleetState = fleetState;
        this.route = route;
        this.backend = backend;
        this.deadlineMs = deadlineMs;
    }

    /** The request arrived: it earns its backend's retry budget a fraction of a retry. */
    void onRequestStarted() {
        fleetState.retryBudget(backend).onFirstAttempt();
    }

    /** An attempt started. */
    void onAttemptStarted() {
        attempts++;
    }

    /** The last attempt reached no server, or the wrong one: it does not count as an attempt. */
    void onServerUnreachable() {
        attempts--;
        unreachableServers++;
    }

    /**
     * Whether another server may be tried after one that received nothing. This takes no retry from
     * the budget.
     */
    boolean mayReplaceUnsentAttempt(long nowMs) {
        return hasReachableServersLeft() && hasTimeLeft(nowMs);
    }

    /**
     * Whether a request that was not executed may be retried. Takes a retry from the budget if so.
     */
    boolean tryRetryNotExecuted(long nowMs) {
        return hasReachableServersLeft() && tryRetry(nowMs);
    }

    /**
     * Whether a request that may have been executed may be retried: only an idempotent one. Takes a
     * retry from the budget if so.
     */
    boolean tryRetryExecuted(long nowMs) {
        return route.isIdempotent() && tryRetry(nowMs);
    }

    private boolean tryRetry(long nowMs) {
        return attempts < route.maxAttempts()
                && hasTimeLeft(nowMs)
                && fleetState.retryBudget(backend).trySpend(nowMs);
    }

    private boolean hasReachableServersLeft() {
        return unreachableServers <= MAX_UNREACHABLE_SERVERS;
    }

    private boolean hasTimeLeft(long nowMs) {
        return deadlineMs - nowMs > MIN_REMAINING_MS;
    }
}
