package poppynotch.fleet.lease;

/**
 * Durations of the lease protocol, in milliseconds. Immutable; the Raft servers and the clients of
 * a fleet must use the same values.
 *
 * @param leaseDurationMs how long a grant or renewal lasts
 * @param maxClockDriftFraction upper bound of the drift between two clocks, as a fraction of
 *     elapsed time
 * @param safetyMarginMs how much earlier than the lease's end a holder stops, to cover the time
 *     between its check of the clock and its operation
 * @param renewIntervalMs interval between renewals
 * @param maxWaitMs how long the leader lets a request wait for a role that another process holds
 * @param responseTimeoutMs response time-out, in addition to the time that a request may wait at
 *     the leader; after it the client tries another Raft server
 * @param selectionDelayMs how long the leader collects requests for a free role before it selects
 *     one
 */
public record LeaseSettings(
        double leaseDurationMs,
        double maxClockDriftFraction,
        double safetyMarginMs,
        double renewIntervalMs,
        double maxWaitMs,
        double responseTimeoutMs,
        double selectionDelayMs) {

    /**
     * The default values. A lease lasts longer than a leader election of the Raft group (up to 2 s)
     * with three renewals to spare. The clocks of two machines drift apart by about 0.0001 of
     * elapsed time; ten times that is assumed.
     */
    public static final LeaseSettings DEFAULT =
            new LeaseSettings(5000, 0.001, 100, 800, 1000, 600, 150);

    /** How long a holder may act, counted from when it sent the acquire or renew request. */
    double holderLeaseMs() {
        return leaseDurationMs * (1 - maxClockDriftFraction) - safetyMarginMs;
    }

    /**
     * How long the leader waits before it expires a lease, counted from when it applied the grant
     * or renewal. Longer than {@link #holderLeaseMs}, so that the holder has stopped by then.
     */
    double leaderLeaseMs() {
        return leaseDurationMs * (1 + maxClockDriftFraction);
    }
}
