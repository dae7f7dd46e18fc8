package poppynotch.lab.world;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The load reports that a model server makes once a period, of which it publishes the newest that
 * is old enough. Owned by one {@link ModelServer}, called on the day's thread.
 */
final class LoadReports {

    /** A report: busy fraction of the cores, and requests a second, up to {@code atMs}. */
    record Report(double atMs, double utilization, double requestsPerSecond) {}

    private final double periodMs;
    private final int cores;
    private final double speed;
    private final Deque<Report> reports = new ArrayDeque<>();
    private double lastReportAtMs;
    private double reportedBusyMs;
    private long reportedRequests;

    /**
     * A history without reports.
     *
     * @param speed core milliseconds a millisecond that each core of the warm server can do
     */
    LoadReports(double periodMs, int cores, double speed) {
        this.periodMs = periodMs;
        this.cores = cores;
        this.speed = speed;
    }

    /** Makes a report where one is due, of work and requests counted since the process began. */
    void update(double now, double busyMs, long servedRequests) {
        double elapsedMs = now - lastReportAtMs;
        if (elapsedMs < periodMs) {
            return;
        }
        reports.add(
                new Report(
                        now,
                        Math.min(1, (busyMs - reportedBusyMs) / (elapsedMs * cores * speed)),
                        (servedRequests - reportedRequests) * 1000 / elapsedMs));
        lastReportAtMs = now;
        reportedBusyMs = busyMs;
        reportedRequests = servedRequests;
    }

    /** The newest report made at or before a time, or null where there is none. */
    Report newestAt(double untilMs) {
        while (reports.size() > 1 && secondAtMs() <= untilMs) {
            reports.poll();
        }
        Report first = reports.peek();
        return first == null || first.atMs() > untilMs ? null : first;
    }

    private double secondAtMs() {
        Iterator<Report> each = reports.iterator();
        each.next();
        return each.next().atMs();
    }
}
