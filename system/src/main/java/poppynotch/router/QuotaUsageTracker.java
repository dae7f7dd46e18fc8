package poppynotch.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.wire.TenantUsage;

/**
 * Computes the other edges' usage of the tenants' quotas between consecutive reports, from the
 * totals that control-plane replicas report.
 *
 * <p>Totals of two replicas, or of two incarnations of one, are not comparable. The tracker
 * therefore follows one connection as long as it reports. For each other connection it stores the
 * totals at the latest published report, so that it can switch to that connection without a gap.
 *
 * <p>Owned by a {@link ControlClient} and used on its thread only. Times are passed in by the
 * caller.
 */
public final class QuotaUsageTracker {

    /** Receives the usage of other edges. */
    public interface Sink {

        /**
         * Called with the usage of other edges since the previous call.
         *
         * @param upToMs the report covers the usage up to this time
         * @param othersUsage amounts by tenant, in its unit; tenants without usage are omitted
         * @param reportingEdges the number of edges whose usage the report covers
         * @param continuous whether this report continues the previous one without a gap; if not,
         *     {@code othersUsage} is empty
         */
        void onUsageByOthers(
                long upToMs, Map<String, Long> othersUsage, int reportingEdges, boolean continuous);
    }

    /** The totals that one connection has reported. */
    private static final class Source {

        /** The usage of all edges, by tenant. */
        final Map<String, Long> totals = new HashMap<>();

        /** This edge's own usage that it had reported when the totals were reported. */
        Map<String, Long> ownUsage = Map.of();

        /** The other edges' usage at the latest published report; null before the first one. */
        Map<String, Long> publishedOthersUsage;

        long reportedAtMs = Long.MIN_VALUE / 2;

        boolean hasReported() {
            return reportedAtMs >= 0;
        }

        /** The totals minus this edge's own usage; only the difference of two results is valid. */
        Map<String, Long> othersUsage() {
            Map<String, Long> othersUsage = new HashMap<>(totals);
            // This includes tenants without a total: a replica that has just started counts only
            // the usage since its start, and not the earlier usage that this edge reports.
            ownUsage.forEach((tenant, own) -> othersUsage.merge(tenant, -own, Long::sum));
            return othersUsage;
        }

        Map<String, Long> unpublishedOthersUsage() {
            Map<String, Long> unpublished = new HashMap<>();
            othersUsage()
                    .forEach(
                            (tenant, amount) -> {
                                long increase =
                                        amount - publishedOthersUsage.getOrDefault(tenant, 0L);
                                if (increase != 0) {
                                    unpublished.put(tenant, increase);
                                }
                            });
            return unpublished;
        }
    }

    private final Sink sink;
    private final long reportTimeoutMs;
    private final Map<Integer, Source> sourcesByLink = new HashMap<>();

    /** The source whose reports are published; null until a report after a start or reconnect. */
    private Source followed;

    /**
     * Creates a tracker without reports.
     *
     * @param reportTimeoutMs another connection is followed if the followed one has not reported
     *     for this time
     */
    QuotaUsageTracker(Sink sink, long reportTimeoutMs) {
        this.sink = sink;
        this.reportTimeoutMs = reportTimeoutMs;
    }

    /** Discards the totals of a link that has a new connection, possibly to another replica. */
    void onConnected(int linkIndex) {
        Source before = sourcesByLink.put(linkIndex, new Source());
        if (before == followed) {
            followed = null;
        }
    }

    /**
     * Processes the totals that a connection has reported.
     *
     * @param upToMs the totals cover the usage up to this time
     * @param reportingEdges the number of edges whose usage the totals cover
     * @param changedTotals the usage of all edges, for tenants whose total has changed
     * @param ownUsage all usage that this edge had reported on that connection
     */
    void onReport(
            long nowMs,
            long upToMs,
            int linkIndex,
            int reportingEdges,
            List<TenantUsage> changedTotals,
            Map<String, Long> ownUsage) {
        Source source = sourcesByLink.computeIfAbsent(linkIndex, key -> new Source());
        changedTotals.forEach(total -> source.totals.put(total.tenant(), total.amount()));
        source.ownUsage = Map.copyOf(ownUsage);
        source.reportedAtMs = nowMs;
        boolean followsAnother = followed != null && followed != source;
        if (followsAnother && nowMs - followed.reportedAtMs <= reportTimeoutMs) {
            return;
        }
        followed = source;
        boolean continuous = source.publishedOthersUsage != null;
        sink.onUsageByOthers(
                upToMs,
                continuous ? source.unpublishedOthersUsage() : Map.of(),
                reportingEdges,
                continuous);
        sourcesByLink.values().stream()
                .filter(Source::hasReported)
                .forEach(reported -> reported.publishedOthersUsage = reported.othersUsage());
    }
}
