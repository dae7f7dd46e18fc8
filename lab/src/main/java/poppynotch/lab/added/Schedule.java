package poppynotch.lab.added;

/**
 * The times at which calls are to be sent: at a constant rate, whatever the outcome of those before
 * (an open loop).
 *
 * @param startNanos the first call's time, on the clock of {@link System#nanoTime}
 * @param rate calls a second, above 0
 * @param count how many calls, 1 or more
 */
public record Schedule(long startNanos, double rate, int count) {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks the bounds. */
    public Schedule {
        if (!(rate > 0) || count < 1) {
            throw new IllegalArgumentException(
                    "a schedule needs a rate above 0 and a call, but has "
                            + rate
                            + " a second and "
                            + count
                            + " calls");
        }
    }

    /** A schedule that lasts so long, with one call at least. */
    static Schedule lasting(long startNanos, double rate, double seconds) {
        return new Schedule(startNanos, rate, (int) Math.max(1, Math.round(rate * seconds)));
    }

    /** The time at which a call is scheduled; {@code index} counts from 0. */
    long at(int index) {
        return startNanos + Math.round(index / rate * NANOS_PER_SECOND);
    }

    /** How long it lasts, in seconds. */
    double seconds() {
        return count / rate;
    }
}
