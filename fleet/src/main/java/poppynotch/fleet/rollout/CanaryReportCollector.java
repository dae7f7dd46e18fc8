package poppynotch.fleet.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the cumulative metrics that processes report, and sums up their increments by zone until
 * the next block is taken. Owned by {@link RolloutController}; not thread-safe.
 */
final class CanaryReportCollector {

    /** A process whose last report is older than this does not count as reporting. */
    private static final double MAX_REPORT_AGE_MS = 6000;

    private record LastReport(long instanceId, CanaryMetrics metrics, double receivedMs) {}

    private final Map<String, LastReport> lastReports = new HashMap<>();
    private final Map<String, CanaryMetrics> blockByZone = new TreeMap<>();
    private long rejectedCount;

    /**
     * Records the metrics that a process has counted since its start. They are rejected if they are
     * implausible after its previous report.
     */
    void onReport(
            double nowMs, String member, String zone, long instanceId, CanaryMetrics metrics) {
        LastReport last = lastReports.get(member);
        boolean sameInstance = last != null && last.instanceId() == instanceId;
        CanaryMetrics lastMetrics = sameInstance ? last.metrics() : CanaryMetrics.NONE;
        if (!metrics.isPlausibleAfter(lastMetrics)) {
            rejectedCount++;
            return;
        }
        if (sameInstance) {
            // The first report may include calls from long ago, and is only the reference point.
            blockByZone.merge(zone, metrics.minus(lastMetrics), CanaryMetrics::plus);
        }
        lastReports.put(member, new LastReport(instanceId, metrics, nowMs));
    }

    /**
     * Removes and returns the calls reported since the last block was taken: one element for each
     * zone, in the order of zone names.
     */
    List<CanaryMetrics> takeBlock() {
        List<CanaryMetrics> block = new ArrayList<>(blockByZone.values());
        blockByZone.clear();
        return block;
    }

    /** The number of processes that have reported recently. */
    long reportingCount(double nowMs) {
        return lastReports.values().stream()
                .filter(report -> nowMs - report.receivedMs() <= MAX_REPORT_AGE_MS)
                .count();
    }

    /** The number of rejected reports. */
    long rejectedCount() {
        return rejectedCount;
    }
}
