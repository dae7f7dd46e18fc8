package poppynotch.control;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the calls of the control API by the status of their response, and logs those that were
 * answered with an error: method, path, status and how long the call has waited. Operators can
 * thereby distinguish a call that this version does not support from one that was not decided in
 * time.
 *
 * <p>One instance per replica, used on its event loop only.
 */
final class ApiCallLog {

    private static final Logger LOG = LoggerFactory.getLogger(ApiCallLog.class);

    private static final int FIRST_ERROR_STATUS = 400;

    /** Further errors within an interval are counted, but not logged. */
    private static final int MAX_LINES_PER_INTERVAL = 20;

    private static final long INTERVAL_MS = 1000;

    private static final int MAX_PATH_LENGTH = 120;

    private final LongSupplier clock;
    private final Map<Integer, Long> countsByStatus = new TreeMap<>();
    private long intervalStartMs;
    private int linesInInterval;
    private long suppressedLines;

    /**
     * Creates an empty log.
     *
     * @param clock a monotonic clock in milliseconds
     */
    ApiCallLog(LongSupplier clock) {
        this.clock = clock;
        intervalStartMs = clock.getAsLong();
    }

    /** The current time, which is passed to {@link #onAnswered} as a call's time of arrival. */
    long nowMs() {
        return clock.getAsLong();
    }

    /** Records the response to a call that arrived at {@code arrivedMs}. */
    void onAnswered(String method, String path, int status, long arrivedMs) {
        countsByStatus.merge(status, 1L, Long::sum);
        if (status >= FIRST_ERROR_STATUS) {
            logError(method, path, status, clock.getAsLong() - arrivedMs);
        }
    }

    private void logError(String method, String path, int status, long waitedMs) {
        long nowMs = clock.getAsLong();
        if (nowMs - intervalStartMs >= INTERVAL_MS) {
            intervalStartMs = nowMs;
            linesInInterval = 0;
        }
        if (linesInInterval >= MAX_LINES_PER_INTERVAL) {
            suppressedLines++;
            return;
        }
        linesInInterval++;
        LOG.info(
                "Control API call answered with an error: method={}, path={}, status={},"
                        + " waitedMs={}, linesSuppressedBefore={}",
                method,
                printable(path),
                status,
                waitedMs,
                suppressedLines);
        suppressedLines = 0;
    }

    private static String printable(String path) {
        String shortened = path.substring(0, Math.min(path.length(), MAX_PATH_LENGTH));
        return shortened.replaceAll("[^\\x21-\\x7e]", "?");
    }

    /** How many calls were answered with each status since the start, by status. */
    Map<Integer, Long> countsByStatus() {
        return countsByStatus;
    }
}
