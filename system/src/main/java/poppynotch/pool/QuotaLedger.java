package poppynotch.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import poppynotch.config.Tenant;

/**
 * What tenants may still use at this sidecar. Each tenant has a bucket that fills by its rate up to
 * its burst, and that all sidecars' use empties: own use at once, others' as the control plane
 * tells. While the control plane is silent only an even share of the rate is given out. It is told
 * the time.
 */
public final class QuotaLedger {

    /**
     * The part of the rule's slack, an even share for each sidecar, by which a bucket may be
     * overdrawn.
     */
    private static final double OVERDRAFT = 0.15;

    /** The part of a burst that a sidecar takes to be left when it has just started. */
    private static final double FIRST_LEVEL = 0.5;

    private static final long LONGEST_WAIT_MS = 2000;
    private static final long LEAST_WAIT_MS = 50;

    private static final class Bucket {
        Tenant tenant;
        double level;
        long filledMs;
        long used;

        /** What all sidecars have used by the control plane's latest word, and this one by then. */
        long total = -1;

        long ownThen;
    }

    private final double slack;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private int sidecars = 1;
    private boolean isolated;

    /** A ledger for a deployment whose rule lets quotas be passed by {@code slack} tokens. */
    public QuotaLedger(double slack) {
        this.slack = slack;
    }

    /** How many sidecars there are, and whether the control plane is silent. */
    public void place(int all, boolean outOfContact) {
        sidecars = Math.max(1, all);
        isolated = outOfContact;
    }

    /** The tenants there are from now on. */
    public void configure(long nowMs, Collection<Tenant> tenants) {
        Set<String> named = new HashSet<>();
        for (Tenant tenant : tenants) {
            named.add(tenant.name());
            bucket(nowMs, tenant);
        }
        buckets.keySet().retainAll(named);
    }

    /** Asks for an amount of a tenant's quota: 0 if it is granted, else the time in ms to wait. */
    public long take(long nowMs, Tenant tenant, long amount) {
        Bucket bucket = bucket(nowMs, tenant);
        double overdraft = tenant.countsTokens() ? OVERDRAFT * slack / sidecars : 0;
        if (tenant.isLimited() && bucket.level + overdraft <= 0) {
            double wait = -(bucket.level + overdraft) / rate(tenant) * 1000;
            return Math.max(LEAST_WAIT_MS, Math.min(LONGEST_WAIT_MS, (long) wait));
        }
        bucket.level -= amount;
        bucket.used += amount;
        return 0;
    }

    /** What was taken for a request that has not run. */
    public void giveBack(long nowMs, Tenant tenant, long amount) {
        Bucket bucket = bucket(nowMs, tenant);
        bucket.level = Math.min(tenant.burst(), bucket.level + amount);
        bucket.used -= amount;
    }

    private Bucket bucket(long nowMs, Tenant tenant) {
        Bucket bucket =
                buckets.computeIfAbsent(
                        tenant.name(),
                        name -> {
                            Bucket fresh = new Bucket();
                            fresh.tenant = tenant;
                            fresh.level = FIRST_LEVEL * tenant.burst();
                            fresh.filledMs = nowMs;
                            return fresh;
                        });
        bucket.tenant = tenant;
        fill(nowMs, bucket);
        return bucket;
    }

    private void fill(long nowMs, Bucket bucket) {
        double added = rate(bucket.tenant) * (nowMs - bucket.filledMs) / 1000;
        bucket.level = Math.min(bucket.tenant.burst(), bucket.level + added);
        bucket.filledMs = nowMs;
    }

    private double rate(Tenant tenant) {
        return isolated ? tenant.ratePerS() / sidecars : tenant.ratePerS();
    }

    /** What a tenant has used here since this process started. */
    public Map<String, Long> used() {
        Map<String, Long> used = new HashMap<>();
        buckets.forEach(
                (name, bucket) -> {
                    if (bucket.used > 0) {
                        used.put(name, bucket.used);
                    }
                });
        return used;
    }

    /**
     * The control plane's sum for a tenant.
     *
     * @param ownReported what this sidecar had told to have used when the sum was made
     * @param first it is the first sum of a core process: only later ones can be compared with it
     */
    public void total(long nowMs, String tenant, long total, long ownReported, boolean first) {
        Bucket bucket = buckets.get(tenant);
        if (bucket == null) {
            return;
        }
        if (!first && bucket.total >= 0) {
            long others = total - bucket.total - (ownReported - bucket.ownThen);
            fill(nowMs, bucket);
            bucket.level = Math.min(bucket.tenant.burst(), bucket.level - others);
        }
        bucket.total = total;
        bucket.ownThen = ownReported;
    }
}
