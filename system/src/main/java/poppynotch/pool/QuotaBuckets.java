package poppynotch.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import poppynotch.config.Tenant;

/**
 * The quota buckets of all tenants at one edge. Each {@link QuotaBucket} holds the quota of the
 * whole fleet: this edge's use is taken from it at once, the other edges' use when an update from
 * the control plane reports it.
 *
 * <p>A bucket is refilled with this edge's even share of the rate as time passes, and with the
 * other edges' shares only for periods that an update covers, together with what they used in it.
 * So edges that receive no updates grant the rate once between them, not once each; the quota can
 * be exceeded only by what others use while the update on it is under way. Between two updates an
 * edge grants a share of what is left, or more while the tenant uses much less than that. When no
 * update has come for a while, only an even share of what was left is granted.
 *
 * <p>Used by one edge, on its event loop; not thread safe. All times are in ms of the caller's
 * monotonic clock. Amounts are in the unit of the tenant's quota: tokens or requests.
 */
public final class QuotaBuckets {

    /** The control plane sends an update about so often, or sooner; allowances last that long. */
    static final long UPDATE_INTERVAL_MS = 200;

    /** A longer period between two updates counts as one of unknown use. */
    private static final long MAX_UPDATE_GAP_MS = 1000;

    private final QuotaTolerance tolerance;
    private final Map<String, QuotaBucket> bucketsByTenant = new HashMap<>();
    private EdgeCoverage coverage = new EdgeCoverage(1, 0);

    /** Up to when updates cover the other edges' use; {@code MIN_VALUE} before the first. */
    private long coveredUntilMs = Long.MIN_VALUE;

    /** When allowances were last renewed; the initial value is long ago, without overflow. */
    private long renewedMs = Long.MIN_VALUE / 2;

    /** Creates buckets for a deployment that tolerates some use beyond the quotas. */
    public QuotaBuckets(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /** Sets how many edges share the quotas, this one included. */
    public void setEdgeCount(int edgeCount) {
        coverage = new EdgeCoverage(Math.max(1, edgeCount), coverage.reportingEdges());
    }

    /** Sets the tenants of the configuration in force; buckets of others are dropped. */
    public void configure(long nowMs, Collection<Tenant> tenants) {
        Set<String> configured = new HashSet<>();
        for (Tenant tenant : tenants) {
            configured.add(tenant.name());
            refilledBucket(nowMs, tenant);
        }
        bucketsByTenant.keySet().retainAll(configured);
    }

    /**
     * Asks for an amount of a tenant's quota.
     *
     * @return 0 if it is granted, else the time in ms after which to ask again
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
                ? "tenant=" + tenant.name() + " has no quota bucket"
                : bucket.describe(coverage);
    }

    /**
     * The use of each tenant at this edge since the process started, to be reported to the control
     * plane, without the use of this edge's own share while it received no updates. No value ever
     * decreases; tenants without use are left out.
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
     * Applies an update of the control plane on the use of the other edges.
     *
     * @param coversUntilMs the time until which the update covers use
     * @param othersUse use by tenant at the other edges since the previous update; tenants without
     *     use are left out
     * @param reportingEdges how many edges' use it covers, this one's included
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
        // Totals that nothing connects to earlier ones say nothing of the use before they came.
        long knownFromMs = continuous ? coversUntilMs : nowMs;
        coveredUntilMs = Math.max(coveredUntilMs, knownFromMs);
    }

    /** The length of the period up to a time that no update covers; 0 before the first update. */
    private long uncoveredMs(long untilMs) {
        return coveredUntilMs == Long.MIN_VALUE ? 0 : Math.max(0, untilMs - coveredUntilMs);
    }

    /** The tenant's bucket with its quota as configured, refilled up to now. */
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
