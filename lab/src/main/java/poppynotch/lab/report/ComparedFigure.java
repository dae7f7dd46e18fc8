package poppynotch.lab.report;

import java.util.function.ToDoubleFunction;
import poppynotch.lab.measure.Result;

/**
 * The figures of a day that runs are compared by. The titles are keys of {@code comparison.json}.
 */
enum ComparedFigure {
    /** The score of the day. */
    SCORE("G", true, Result::g),
    /** The fraction of the value that was served in time, over the whole day. */
    VALUE_IN_TIME("worth in time, whole day", true, Result::whole),
    /** The fraction of the value that was served in time, in the worst ten seconds. */
    WORST_TEN_SECONDS("worth in time, worst 10 s", true, Result::worstTenSeconds),
    /** Refused requests, as a fraction of all. */
    REFUSED("refused", false, day -> perRequest(day, day.totals().refused())),
    /** Failed requests, as a fraction of all. */
    FAILED("failed", false, day -> perRequest(day, day.totals().failed())),
    /** Late answers, as a fraction of all requests. */
    LATE("late", false, day -> perRequest(day, day.totals().late())),
    /** Attempts at model servers for each request. */
    ATTEMPTS("attempts a request", false, day -> perRequest(day, day.totals().attempts())),
    /** Work that served nobody, as a fraction of that which did. */
    WASTED_WORK(
            "work wasted",
            false,
            day ->
                    (day.totals().workMs() - day.totals().usefulWorkMs())
                            / Math.max(1, day.totals().usefulWorkMs())),
    /** The median latency, in seconds. */
    P50("median wait, s", false, day -> day.latency().p50() / 1000),
    /** The 99th percentile of latencies, in seconds. */
    P99("99th percentile, s", false, day -> day.latency().p99() / 1000);

    private final String title;
    private final boolean moreIsBetter;
    private final ToDoubleFunction<Result> value;

    ComparedFigure(String title, boolean moreIsBetter, ToDoubleFunction<Result> value) {
        this.title = title;
        this.moreIsBetter = moreIsBetter;
        this.value = value;
    }

    String title() {
        return title;
    }

    boolean moreIsBetter() {
        return moreIsBetter;
    }

    double of(Result day) {
        return value.applyAsDouble(day);
    }

    private static double perRequest(Result day, long count) {
        return (double) count / Math.max(1, day.totals().offered());
    }
}
