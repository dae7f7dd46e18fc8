package poppynotch.pool;

import java.util.Locale;
import poppynotch.config.Tenant;

/**
 * One edge's estimate of a tenant's token bucket, which holds the quota of the whole fleet: the use
 * of all edges is taken from it.
 *
 * <p>The {@link #level} is the estimate of the amount that the fleet has left. The {@link
 * #allowance} is the part of it that this edge may grant until the next update on the other edges'
 * use arrives. Both must be above 0 for a request to be granted; a request may take more than is
 * left.
 *
 * <p>Owned by {@link QuotaBuckets}, which passes the time in ms of one monotonic clock. Not
 * thread-safe.
 */
final class QuotaBucket {

    /**
     * The fraction of the tolerated overage that is granted in addition to the burst, so that a
     * tenant within its quota is not rejected because edges learn of each other's use late. The
     * rest covers grants that edges make at the same time. {@code QuotaSchedulesTest} limits the
     * value.
     */
    private static final double HEADROOM_FRACTION = 0.09;

    /** The fraction of the burst that all edges together assume to be left when they start. */
    private static final double STARTUP_BURST_FRACTION = 0.5;

    /**
     * The number of even shares of the amount left that one edge may grant until the next update:
     * more than one, as a tenant's requests are not spread evenly over the edges.
     */
    static final double EVEN_SHARES_PER_UPDATE = 2;

    /**
     * The fleet's use may grow to this multiple of its recent rate before updates report it. The
     * amount left beyond that is surplus.
     */
    private static final double MAX_USE_GROWTH = 3;

    /** The time until an update reports the use at one edge to the others. */
    private static final double REPORT_LAG_MS = 600;

    /** A tenant is assumed to use at least this fraction of its rate. */
    private static final double MIN_USE_FRACTION = 0.4;

    /** The maximum fraction of the amount left that one edge may grant as surplus. */
    static final double MAX_SURPLUS_FRACTION = 0.4;

    /** Time constant of the exponential decay of recent use. */
    private static final double RECENT_USE_DECAY_MS = 2000;

    private static final long MAX_RETRY_AFTER_MS = 10_000;
    private static final long MIN_RETRY_AFTER_MS = 50;

    /** A shortage ends when no request has been rejected for this time. */
    private static final long SHORTAGE_END_MS = 1000;

    private static final double MS_PER_S = 1000;

    private final QuotaTolerance tolerance;
    private Tenant tenant;

    /** The amount that the fleet has left, in the quota's unit; negative when overdrawn. */
    private double level;

    /** The amount that this edge may grant until the next update, in the quota's unit. */
    private double allowance;

    /** The time of the latest refill of level and allowance. */
    private long refilledMs;

    /** Use at this edge since the process started. */
    private long used;

    private long usedSinceUpdate;

    private long usedSinceRenewal;

    /**
     * The part of {@link #used} that is never reported: this edge granted it from its own share of
     * the rate while no update arrived, and the other edges do not use that share.
     */
    private long unreported;

    /** The part of {@link #used} that has been reported to the control plane. */
    private long reportedUse;

    /** Recent use at all edges, decayed up to {@link #decayedMs}. */
    private double recentFleetUse;

    private long decayedMs;

    private long shortageStartMs;

    /** The time of the latest rejection; the initial value is long ago, without overflow. */
    private long lastRejectionMs = Long.MIN_VALUE / 2;

    QuotaBucket(long nowMs, Tenant tenant, QuotaTolerance tolerance, int edgeCount) {
        this.tenant = tenant;
        this.tolerance = tolerance;
        allowance = STARTUP_BURST_FRACTION * tenant.burst() / edgeCount;
        level = allowance - headroom();
        refilledMs = nowMs;
        assumeFullUse(nowMs);
    }

    /** Sets the tenant as configured now, whose quota may have changed. */
    void setTenant(Tenant configured) {
        tenant = configured;
    }

    /** Adds this edge's even share of the rate for the time since the last refill. */
    void refill(long nowMs, int edgeCount) {
        double added = evenRateShare(edgeCount) * (nowMs - refilledMs) / MS_PER_S;
        addToLevel(added);
        double maxAllowance = tenant.burst() + headroom();
        allowance = Math.min(maxAllowance, allowance + added);
        refilledMs = nowMs;
    }

    /**
     * Takes an amount from the bucket, which must be refilled up to now.
     *
     * @return 0 if the amount is granted, else the time in ms after which to retry
     */
    long acquire(long nowMs, long amount) {
        if (tenant.isLimited() && available() <= 0) {
            return retryAfterInShortageMs(nowMs);
        }
        if (tenant.isLimited() && allowance <= 0) {
            return QuotaBuckets.UPDATE_INTERVAL_MS;
        }
        level -= amount;
        allowance -= amount;
        used += amount;
        usedSinceUpdate += amount;
        usedSinceRenewal += amount;
        return 0;
    }

    /** Returns an amount that was acquired for a request that was not executed. */
    void refund(long amount) {
        level = Math.min(tenant.burst(), level + amount);
        allowance += amount;
        used -= amount;
        usedSinceUpdate -= amount;
        usedSinceRenewal -= amount;
    }

    /**
     * Returns the use to report to the control plane, which never decreases.
     *
     * @param disconnected whether updates have stopped. The use since the last update is then
     *     withheld, as it may turn out to be covered by this edge's own share.
     */
    long advanceReportedUse(boolean disconnected) {
        long withheld = disconnected ? Math.max(0, usedSinceUpdate) : 0;
        reportedUse = Math.max(reportedUse, used - unreported - withheld);
        return reportedUse;
    }

    /**
     * Accounts for a period in which the use of the other edges is known: adds their shares of the
     * rate and subtracts their use.
     *
     * @param periodMs the length of the period
     */
    void onKnownUse(long nowMs, long periodMs, long othersUse, EdgeCoverage coverage) {
        double added = tenant.ratePerS() * coverage.othersFraction() * periodMs / MS_PER_S;
        addToLevel(added - othersUse);
        double remaining = Math.exp(-(nowMs - decayedMs) / RECENT_USE_DECAY_MS);
        long ownUse = usedSinceUpdate;
        recentFleetUse = Math.max(0, recentFleetUse * remaining + ownUse + othersUse);
        decayedMs = nowMs;
        usedSinceUpdate = 0;
    }

    /**
     * Accounts for a period in which the use of the other edges is not known: they may have used
     * everything but this edge's even share of the amount left.
     *
     * @param periodMs the length of the period
     */
    void onUnknownUse(long nowMs, long periodMs, int edgeCount) {
        double left = Math.min(available(), available() / edgeCount);
        level = left - headroom();
        allowance = Math.min(allowance, left);
        assumeFullUse(nowMs);
        usedSinceRenewal = 0;
        double ownShare = evenRateShare(edgeCount) * periodMs / MS_PER_S;
        long usedOfOwnShare = (long) Math.min(ownShare, (double) Math.max(0, usedSinceUpdate));
        unreported = Math.min(unreported + usedOfOwnShare, used - reportedUse);
        usedSinceUpdate = 0;
    }

    /** Sets the amount that this edge may grant until the next update, from the amount left now. */
    void renewAllowance(EdgeCoverage coverage) {
        double overdraft = Math.min(headroom(), Math.max(0, available()));
        double left = overdraft + Math.max(0, level) * EVEN_SHARES_PER_UPDATE;
        // Updates may not have reported the use since the previous renewal to the other edges yet.
        allowance = Math.max(left / coverage.edgeCount(), surplus(coverage)) - usedSinceRenewal;
        usedSinceRenewal = 0;
    }

    /** The state of the bucket on one line, for logs. */
    String describe(EdgeCoverage coverage) {
        return String.format(
                Locale.ROOT,
                "tenant=%s, available=%.0f, capacity=%.0f, allowance=%.0f, edgesReporting=%d,"
                        + " edgeCount=%d",
                tenant.name(),
                available(),
                tenant.burst() + headroom(),
                allowance,
                coverage.reportingEdges(),
                coverage.edgeCount());
    }

    /** The amount that the fleet may still grant; a bucket may be overdrawn by its headroom. */
    private double available() {
        return level + headroom();
    }

    private double headroom() {
        return HEADROOM_FRACTION * tolerance.overageOf(tenant);
    }

    private double evenRateShare(int edgeCount) {
        return tenant.ratePerS() / edgeCount;
    }

    private void addToLevel(double amount) {
        level = Math.min(tenant.burst(), level + amount);
    }

    /**
     * Returns the time until the bucket is above 0 again, or the duration of the shortage so far if
     * that is longer: for a tenant that constantly exceeds its rate, the bucket would soon be empty
     * again.
     */
    private long retryAfterInShortageMs(long nowMs) {
        if (nowMs - lastRejectionMs > SHORTAGE_END_MS) {
            shortageStartMs = nowMs;
        }
        lastRejectionMs = nowMs;
        long untilRefilledMs = (long) (-available() / tenant.ratePerS() * MS_PER_S);
        long retryAfterMs = Math.max(untilRefilledMs, nowMs - shortageStartMs);
        return Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, retryAfterMs));
    }

    /** Sets the recent use to that of the full rate, for a tenant whose use is not known. */
    private void assumeFullUse(long nowMs) {
        recentFleetUse = tenant.ratePerS() * RECENT_USE_DECAY_MS / MS_PER_S;
        decayedMs = nowMs;
    }

    /**
     * The amount that every single edge may grant if all edges report: the amount left beyond the
     * use that the fleet is expected to have before it is reported. 0 if some edge does not report.
     */
    private double surplus(EdgeCoverage coverage) {
        if (!coverage.isComplete()) {
            return 0;
        }
        double usePerMs = recentFleetUse / RECENT_USE_DECAY_MS;
        double minUsePerMs = MIN_USE_FRACTION * tenant.ratePerS() / MS_PER_S;
        double expectedUse = MAX_USE_GROWTH * REPORT_LAG_MS * Math.max(usePerMs, minUsePerMs);
        return Math.min(available() - expectedUse, MAX_SURPLUS_FRACTION * available());
    }
}
