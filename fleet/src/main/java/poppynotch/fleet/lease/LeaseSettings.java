package poppynotch.fleet.lease;

/**
 * The times of leases in milliseconds.
 *
 * @param leaseMs how long a grant or renewal lasts
 * @param driftPart two clocks run apart by no more than this part of a time
 * @param marginMs what a holder stops earlier, for the time between its look at the clock and its
 *     effect
 * @param renewMs a holder renews this often
 * @param parkMs a request for a duty that another has waits so long at the leader for it to become
 *     free
 * @param answerMs how long an answer may take beyond that before another keeper is asked
 * @param staggerMs a free duty goes to the best of those who ask within this time
 */
public record LeaseSettings(
        double leaseMs,
        double driftPart,
        double marginMs,
        double renewMs,
        double parkMs,
        double answerMs,
        double staggerMs) {

    /**
     * The figures in use. A lease outlasts an election of the keepers (up to 2 s) with three
     * renewals to spare; clocks of machines run apart by some 0.0001, ten times that is assumed.
     */
    public static final LeaseSettings DEFAULT =
            new LeaseSettings(5000, 0.001, 100, 800, 1000, 600, 150);

    /** Counted from when the request for it was sent, a holder may act for so long. */
    double holderMs() {
        return leaseMs * (1 - driftPart) - marginMs;
    }

    /** Counted from when it knows of a grant or renewal, the leader lets so much time pass. */
    double leaderMs() {
        return leaseMs * (1 + driftPart);
    }
}
