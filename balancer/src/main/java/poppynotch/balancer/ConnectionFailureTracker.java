package poppynotch.balancer;

/**
 * Guards against new connections that fail or hang while those that stand are well: slots without
 * one come after those that have one, the further the more connects have failed of late. May do
 * harm where servers come back one by one: they wait until the memory fades, some seconds.
 */
final class ConnectionFailureTracker {

    /** Weight of a new connect in the fraction that fails. */
    private static final double CONNECT_GAIN = 1.0 / 4;

    /** What is left of that fraction after a refill interval. */
    private static final double DECAY = 0.99;

    /** Rounds of ranks by which slots are put back if all connects fail. */
    private static final double MAX_ROUNDS_BACK = 4;

    private final CurrentSettings settings;

    /** The recent fraction of failures among attempts that had to open a connection. */
    private double failingFraction;

    ConnectionFailureTracker(CurrentSettings settings) {
        this.settings = settings;
    }

    /** Takes in the end of an attempt, and whether its slot now has a connection. */
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

    /** What is added to a slot's rank. */
    double rankPenalty(Slot slot) {
        return slot.connected ? 0 : failingFraction * MAX_ROUNDS_BACK * settings.get().balancers();
    }
}
