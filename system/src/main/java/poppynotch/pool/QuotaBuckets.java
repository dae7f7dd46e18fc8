package poppynotch.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import poppynotch.config.Tenant;

/**
 * The quota buckets of all tenants at one edge. Each {@link QuotaBucket} holds the quota of the
 * whole fleet. This edge's use is taken from it at once, the other edges' use when an update from
 * the control plane reports it.
 *
 * <p>A bucket is refilled with this edge's even share of the rate as time passes. The other edges'
 * shares are added only for periods that an update covers, together with the edges' use in the
 * period. So edges that receive no updates together grant the rate once, not once each, and the
 * quota can be exceeded only by use that updates have not reported yet. Between two updates an edge
 * grants a share of the amount left, or more if the tenant uses much less than that. After some
 * time without updates, only an even share of the amount left is granted.
 *
 * <p>Confined to the edge's event loop; not thread-safe. All times are in ms of the caller's
 * monotonic clock. Amounts are in the unit of the tenant's quota: tokens or requests.
 */
public final class QuotaBuckets {

    /** The usual interval of the control plane's updates, and the period of an allowance. */
    static final long UPDATE_INTERVAL_MS = 200;

    /** The use of the other edges counts as unknown for a longer period between two updates. */
    private static final long MAX_UPDATE_GAP_MS = 1000;

    private final QuotaTolerance tolerance;
    private final Map<String, QuotaBucket> bucketsByTenant = new HashMap<>();
    private EdgeCoverage coverage = new EdgeCoverage(1, 0);

    /** The time until which updates cover the other edges' use; {@code MIN_VALUE} at first. */
    private long coveredUntilMs = Long.MIN_VALUE;

    /** The time of the latest renewal; the initial value is long ago, without overflow. */
    private long renewedMs = Long.MIN_VALUE / 2;

    /** Creates the buckets of a deployment that tolerates some use beyond the quotas. */
    public QuotaBuckets(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /** Sets the number of edges that share the quotas, including this one. */
    public void setEdgeCount(int edgeCount) {
        coverage = new EdgeCoverage(Math.max(1, edgeCount), coverage.reportingEdges());
    }

    /** Sets the tenants of the current configuration and drops the buckets of all others. */
    public void configure(long nowMs, Collection<Tenant> tenants) {
        Set<String> configured = new HashSet<>();
        for (Tenant tenant : tenants) {
            configured.add(tenant.name());
            refilledBucket(nowMs, tenant);
        }
        bucketsByTenant.keySet().retainAll(configured);
    }

    /**
     * Takes an amount from a tenant's quota.
     *
     * @return 0 if the amount is granted, else the time in ms after which to retry
     */
    public long acquire(long nowMs, Tenant tenant, long amount) {
        return refilledBucket(nowMs, tenant).acquire(nowMs, amount);
    }

    /** Returns an amount that was acquired for a request that was not executed. */
    public void refund(long nowMs, Tenant tenant, long amount) {
        refilledBucket(nowMs, tenant).refund(amount);
    }

    /** The state of a tenant's bucket on one line, for logs. */
    public String describe(Tenant tenant) {
        QuotaBucket bucket = bucketsByTenant.get(tenant.name());
        return bucket == null
                ? "tenant=" + tenant.name() + ", bucket=none"
                : bucket.describe(coverage);
    }

    /**
     * Returns the use of each tenant at this edge since the process started, as reported to the
     * control plane. It excludes the use of this edge's own share while the edge received no
     * updates. No value ever decreases; tenants without use are left out.
     */
    public Map<String, Long> useToReport(long nowMs) {
        boolean disconnected = uncoveredMs(nowMs) > MAX_UPDATE_GAP_MS;
        Map<String, Long> useByTenant = new HashMap<>();
        bucketsByTenant.forEach(
                (name, bucket) -> {
                    long use = bucket.advanceReportedUse(disconnected);
                    if (use > 0) {
                        useByTenant.put(name, use);
                    }
                });
        return useByTenant;
    }

    /**
     * Applies an update from the control plane on the use of the other edges.
     *
     * @param coversUntilMs the time until which the update covers use
     * @param othersUse the use of each tenant at the other edges since the previous update; tenants
     *     without use are left out
     * @param reportingEdges the number of edges whose use the update covers, including this one
     * @param continuous whether no update is missing between this one and the previous one
     */
    public void onUpdate(
            long nowMs,
            long coversUntilMs,
            Map<String, Long> othersUse,
            int reportingEdges,
            boolean continuous) {
        long periodMs = uncoveredMs(coversUntilMs);
        coverage = new EdgeCoverage(coverage.edgeCount(), reportingEdges);
        boolean isUseKnown = continuous && periodMs <= MAX_UPDATE_GAP_MS;
        boolean isRenewalDue = nowMs - renewedMs >= UPDATE_INTERVAL_MS;
        if (isRenewalDue) {
            renewedMs = nowMs;
        }
        bucketsByTenant.forEach(
                (name, bucket) -> {
                    bucket.refill(nowMs, coverage.edgeCount());
                    if (isUseKnown) {
                        long use = othersUse.getOrDefault(name, 0L);
                        bucket.onKnownUse(nowMs, periodMs, use, coverage);
                    } else {
                        bucket.onUnknownUse(nowMs, periodMs, coverage.edgeCount());
                    }
                    if (isUseKnown && isRenewalDue) {
                        bucket.renewAllowance(coverage);
                    }
                });
        // An update that does not continue an earlier one does not cover the time before it.
        long knownFromMs = continuous ? coversUntilMs : nowMs;
        coveredUntilMs = Math.max(coveredUntilMs, knownFromMs);
    }

    /** The length of the period before a time that no update covers; 0 before the first update. */
    private long uncoveredMs(long untilMs) {
        return coveredUntilMs == Long.MIN_VALUE ? 0 : Math.max(0, untilMs - coveredUntilMs);
    }

    /** Returns a tenant's bucket with the configured quota, refilled up to now. */
    private QuotaBucket refilledBucket(long nowMs, Tenant tenant) {
        QuotaBucket bucket =
                bucketsByTenant.computeIfAbsent(
                        tenant.name(),
                        name -> new QuotaBucket(nowMs, tenant, tolerance, coverage.edgeCount()));
        bucket.setTenant(tenant);
        bucket.refill(nowMs, coverage.edgeCount());
        return bucket;
    }
}
