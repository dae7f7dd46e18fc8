package poppynotch.lab.added;

import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;

/**
 * What became of the calls of one block. A call's time counts from when it was meant to be sent, so
 * that whatever stands still is charged to all calls that were planned meanwhile, and not only to
 * those that a caller got to send. One thread tells it of ends; others read it once it is {@link
 * #done}.
 */
public final class Recorder {

    /** Times above are taken as this: no caller waits so long. */
    private static final long MOST_NANOS = 60_000_000_000L;

    private static final int DIGITS = 3;

    private final Schedule schedule;
    private final Histogram times = empty();

    /** When each call was answered, or 0 where it was not. */
    private final long[] ends;

    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private int refused;
    private int failed;

    Recorder(Schedule schedule) {
        this.schedule = schedule;
        ends = new long[schedule.count()];
    }

    /** A histogram as all recorders have it. */
    static Histogram empty() {
        return new Histogram(1, MOST_NANOS, DIGITS);
    }

    /** A call is over; {@code index} as in the schedule, the time on the schedule's clock. */
    void over(int index, HttpPool.Outcome end, long nowNanos) {
        switch (end) {
            case SERVED -> {
                ends[index] = nowNanos;
                times.recordValue(Math.max(1, Math.min(MOST_NANOS, nowNanos - schedule.at(index))));
            }
            case REFUSED -> refused++;
            default -> failed++;
        }
        if (times.getTotalCount() + refused + failed == schedule.count()) {
            done.complete(null);
        }
    }

    /** Is complete once all calls are over. */
    CompletableFuture<Void> done() {
        return done;
    }

    Schedule schedule() {
        return schedule;
    }

    /** Times of the served calls, in nanoseconds. */
    public Histogram times() {
        return times;
    }

    /** How many were served. */
    public long served() {
        return times.getTotalCount();
    }

    /** How many were refused: trying again is harmless. */
    public int refused() {
        return refused;
    }

    /** How many have failed, or were not answered at all. */
    public int failed() {
        return failed;
    }

    /** How long the served call with this part of the others below it took, in milliseconds. */
    double quantileMs(double part) {
        return times.getValueAtPercentile(part * 100) / 1e6;
    }

    /** When a call was answered, or 0 where it was not. */
    long endOf(int index) {
        return ends[index];
    }
}
