package poppynotch.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.wire.RolloutReport;

/**
 * Selects the rollout reports for the next poll of one {@link ControlLink}: those that have changed
 * since they were last sent on it, at most every {@value #INTERVAL_MS} ms. Used on the edge's event
 * loop only. Times are passed in by the caller.
 */
final class RolloutReportSchedule {

    static final long INTERVAL_MS = 400;

    private record Sent(long rolloutId, long sequence) {}

    private final Map<String, Sent> sentByBackend = new HashMap<>();
    private long lastSentMs = Long.MIN_VALUE / 2;

    /** Resets the schedule for a new connection, on which nothing has been sent yet. */
    void reset() {
        sentByBackend.clear();
        lastSentMs = Long.MIN_VALUE / 2;
    }

    /** Returns the reports that are due, and records them as sent. */
    List<RolloutReport> due(long nowMs, List<RolloutReport> reports) {
        if (reports.isEmpty() || nowMs - lastSentMs < INTERVAL_MS) {
            return List.of();
        }
        List<RolloutReport> due = new ArrayList<>();
        for (RolloutReport report : reports) {
            Sent sent = new Sent(report.rolloutId(), report.sequence());
            if (!sent.equals(sentByBackend.put(report.backend(), sent))) {
                due.add(report);
            }
        }
        if (!due.isEmpty()) {
            lastSentMs = nowMs;
        }
        return due;
    }
}
