package poppynotch.lab.added;

import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;

/**
 * Records the outcomes and times of the calls of one block. A call's time counts from its scheduled
 * time, so that a stall is charged to all calls scheduled during it, and not only to those that a
 * caller could send (no coordinated omission). One thread records; others read once it is {@link
 * #done}.
 */
public final class Recorder {

    /** Longer times are recorded as this: no caller waits so long. */
    private static final long MAX_NANOS = 60_000_000_000L;

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Schedule schedule;
    private final Histogram times = empty();

    /** When each call was served, or 0 where it was not. */
    private final long[] ends;

    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private int refused;
    private int failed;

    Recorder(Schedule schedule) {
        this.schedule = schedule;
        ends = new long[schedule.count()];
    }

    /** An empty histogram of the range that all recorders use. */
    static Histogram empty() {
        return new Histogram(1, MAX_NANOS, SIGNIFICANT_DIGITS);
    }

    /**
     * Records that a call is complete.
     *
     * @param index as in the schedule
     * @param nowNanos on the schedule's clock
     */
    void over(int index, HttpPool.Outcome outcome, long nowNanos) {
        switch (outcome) {
            case SERVED -> {
                ends[index] = nowNanos;
                times.recordValue(Math.max(1, Math.min(MAX_NANOS, nowNanos - schedule.at(index))));
            }
            case REFUSED -> refused++;
            default -> failed++;
        }
        if (times.getTotalCount() + refused + failed == schedule.count()) {
            done.complete(null);
        }
    }

    /** Completes once all calls are complete. */
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

    /** How many were rejected: a retry is harmless. */
    public int refused() {
        return refused;
    }

    /** How many failed, or were not answered. */
    public int failed() {
        return failed;
    }

    /** A quantile of the times of served calls, in milliseconds; {@code fraction} of 1. */
    double quantileMs(double fraction) {
        return times.getValueAtPercentile(fraction * 100) / 1e6;
    }

    /** When a call was answered, or 0 where it was not. */
    long endOf(int index) {
        return ends[index];
    }
}
