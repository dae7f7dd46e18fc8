package poppynotch.balancer;

/**
 * Prefers slots with an open connection while new connections fail or hang: the more connects have
 * failed recently, the later slots without a connection come in the order. Drawback: servers that
 * come back one by one wait some seconds for calls, until the failing fraction has decayed.
 */
final class ConnectionFailureTracker {

    /** Weight of a new connect in the failing fraction. */
    private static final double CONNECT_GAIN = 1.0 / 4;

    /** The factor on the failing fraction in each refill interval. */
    private static final double DECAY = 0.99;

    /** The rank penalty if all connects fail, in rounds of one slot of each balancer. */
    private static final double PENALTY_ROUNDS = 4;

    private final CurrentSettings settings;

    /** The recent fraction of failures among attempts that had to open a connection. */
    private double failingFraction;

    ConnectionFailureTracker(CurrentSettings settings) {
        this.settings = settings;
    }

    /** Records the outcome of an attempt, and whether its slot now has a connection. */
    void recordAttempt(Slot slot, AttemptOutcome outcome) {
        if (!slot.connected
                && outcome != AttemptOutcome.CANCELED
                && outcome != AttemptOutcome.IGNORED) {
            double failed = outcome == AttemptOutcome.CONNECT_ERROR ? 1 : 0;
            failingFraction += CONNECT_GAIN * (failed - failingFraction);
        }
        slot.connected =
                outcome == AttemptOutcome.OK
                        || outcome == AttemptOutcome.FAILED
                        || outcome == AttemptOutcome.QUEUE_FULL;
    }

    void decay() {
        failingFraction *= DECAY;
    }

    /** The amount added to the rank of a slot. */
    double rankPenalty(Slot slot) {
        return slot.connected ? 0 : failingFraction * PENALTY_ROUNDS * settings.get().balancers();
    }
}
