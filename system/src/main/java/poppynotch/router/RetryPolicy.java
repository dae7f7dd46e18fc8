package poppynotch.router;

import poppynotch.config.Route;

/**
 * Decides whether a request may be sent to another server, by the route's maximum number of
 * attempts, the remaining time and the retry budget of the backend. One instance per {@link
 * RequestExchange}, used on the edge's event loop only.
 */
final class RetryPolicy {

    /** Unreachable servers do not count as attempts, but no more of them than this are skipped. */
    private static final int MAX_UNREACHABLE_SERVERS = 4;

    /** No further attempt starts with less remaining time than this. */
    private static final long MIN_REMAINING_MS = 30;

    private final FleetState fleetState;
    private final Route route;
    private final String backend;
    private final long deadlineMs;
    private int attempts;
    private int unreachableServers;

    /**
     * Creates the policy of a request that has not been sent yet.
     *
     * @param deadlineMs when the client stops waiting, on the edge's monotonic clock
     */
    RetryPolicy(FleetState fleetState, Route route, String backend, long deadlineMs) {
        this.fleetState = fleetState;
        this.route = route;
        this.backend = backend;
        this.deadlineMs = deadlineMs;
    }

    /** Adds the request's fraction of a retry to the budget of its backend. */
    void onRequestStarted() {
        fleetState.retryBudget(backend).onFirstAttempt();
    }

    /** Counts an attempt. */
    void onAttemptStarted() {
        attempts++;
    }

    /** Reverts the count of the last attempt, which did not reach the intended server. */
    void onServerUnreachable() {
        attempts--;
        unreachableServers++;
    }

    /**
     * Whether another server may be tried after an attempt that sent nothing. Does not spend any of
     * the retry budget.
     */
    boolean mayReplaceUnsentAttempt(long nowMs) {
        return hasReachableServersLeft() && hasTimeLeft(nowMs);
    }

    /**
     * Whether a request that was not executed may be retried. If so, spends a retry of the budget.
     */
    boolean tryRetryNotExecuted(long nowMs) {
        return hasReachableServersLeft() && tryRetry(nowMs);
    }

    /**
     * Whether a request that may have been executed may be retried, which requires that it is
     * idempotent. If so, spends a retry of the budget.
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
