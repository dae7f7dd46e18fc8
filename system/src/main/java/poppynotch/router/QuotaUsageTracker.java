package poppynotch.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.wire.TenantUsage;

/**
 * Computes what other edges have used of the tenants' quotas from one report to the next, from the
 * totals that control-plane replicas report.
 *
 * <p>Totals of two replicas, or of two incarnations of one, can't be compared. So one connection is
 * followed while it reports. Of the others the tracker remembers their totals at the latest
 * published report, so that one of them can continue from there without a gap.
 *
 * <p>Owned by a {@link ControlClient} and used on its thread only. It has no clock of its own.
 */
public final class QuotaUsageTracker {

    /** Receives what other edges have used. */
    public interface Sink {

        /**
         * Other edges have used quota since the call before.
         *
         * @param upToMs the report covers what was used until then
         * @param others amounts by tenant, in its unit; tenants without use are left out
         * @param reporting how many edges' use the report covers
         * @param continuous whether nothing is missing between this report and the one before; if
         *     not, {@code others} is empty
         */
        void onUsageByOthers(
                long upToMs, Map<String, Long> others, int reporting, boolean continuous);
    }

    /** The totals that one connection has reported. */
    private static final class Source {

        /** What all edges have used, by tenant. */
        final Map<String, Long> totals = new HashMap<>();

        /** What this edge had reported of its own use when the totals were reported. */
        Map<String, Long> ownUse = Map.of();

        /** Others' use at the latest published report; null before the first. */
        Map<String, Long> publishedOthersUse;

        long reportedAtMs = Long.MIN_VALUE / 2;

        boolean hasReported() {
            return reportedAtMs >= 0;
        }

        /** Totals less this edge's own use; only differences of two of them mean anything. */
        Map<String, Long> othersUse() {
            Map<String, Long> othersUse = new HashMap<>(totals);
            // Also where there is no total yet: a replica that has just started counts only what
            // is used from then on, and not what this edge reports as used before.
            ownUse.forEach((tenant, own) -> othersUse.merge(tenant, -own, Long::sum));
            return othersUse;
        }

        Map<String, Long> unpublishedOthersUse() {
            Map<String, Long> unpublished = new HashMap<>();
            othersUse()
                    .forEach(
                            (tenant, amount) -> {
                                long increase =
                                        amount - publishedOthersUse.getOrDefault(tenant, 0L);
                                if (increase != 0) {
                                    unpublished.put(tenant, increase);
                                }
                            });
            return unpublished;
        }
    }

    private final Sink sink;
    private final long silenceTimeoutMs;
    private final Map<Integer, Source> sourcesByLink = new HashMap<>();

    /** The source whose reports are published; null before the first and after its connection. */
    private Source followed;

    /**
     * A tracker without reports.
     *
     * @param silenceTimeoutMs another connection is followed once the followed one has not reported
     *     for so long
     */
    QuotaUsageTracker(Sink sink, long silenceTimeoutMs) {
        this.sink = sink;
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    /** A link has a new connection, perhaps to another replica than before. */
    void onConnected(int linkIndex) {
        Source before = sourcesByLink.put(linkIndex, new Source());
        if (before == followed) {
            followed = null;
        }
    }

    /**
     * A connection reported totals.
     *
     * @param upToMs they cover what was used until then
     * @param reporting how many edges' use they cover
     * @param changedTotals what all edges have used, where it has changed
     * @param ownUse what this edge had reported on that connection, all of it
     */
    void onReport(
            long nowMs,
            long upToMs,
            int linkIndex,
            int reporting,
            List<TenantUsage> changedTotals,
            Map<String, Long> ownUse) {
        Source source = sourcesByLink.computeIfAbsent(linkIndex, key -> new Source());
        changedTotals.forEach(total -> source.totals.put(total.tenant(), total.amount()));
        source.ownUse = Map.copyOf(ownUse);
        source.reportedAtMs = nowMs;
        boolean followsAnother = followed != null && followed != source;
        if (followsAnother && nowMs - followed.reportedAtMs <= silenceTimeoutMs) {
            return;
        }
        followed = source;
        boolean continuous = source.publishedOthersUse != null;
        sink.onUsageByOthers(
                upToMs,
                continuous ? source.unpublishedOthersUse() : Map.of(),
                reporting,
                continuous);
        sourcesByLink.values().stream()
                .filter(Source::hasReported)
                .forEach(reported -> reported.publishedOthersUse = reported.othersUse());
    }
}
