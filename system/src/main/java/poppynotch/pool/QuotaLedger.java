package poppynotch.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import poppynotch.config.Tenant;

/**
 * What tenants may still use at this sidecar. Each tenant has a bucket of the whole fleet's quota,
 * which all sidecars' use empties: own use at once, others' as the control plane tells. It is told
 * the time.
 *
 * <p>A bucket fills by this sidecar's even share of the rate as time passes, and by the others'
 * shares only for the time that the control plane's word covers, together with what the others have
 * used by then. So all sidecars that hear nothing give out the rate once, not once each; what may
 * be passed is what others use while their word is under way. When no word has come for a while,
 * only an even share of what was left is given out.
 */
public final class QuotaLedger {

    /**
     * The part of the rule's slack, an even share for each sidecar, by which a bucket may be
     * overdrawn.
     */
    private static final double OVERDRAFT = 0.15;

    /**
     * The part of a burst that all sidecars together take to be left when they have just started.
     */
    private static final double FIRST_LEVEL = 0.5;

    /** Without a word for so long, others may have used what this sidecar takes to be left. */
    static final long STALE_MS = 600;

    private static final long LONGEST_WAIT_MS = 2000;
    private static final long LEAST_WAIT_MS = 50;

    private static final class Bucket {
        Tenant tenant;
        double level;

        /** Left to the others while no word comes. */
        double reserved;

        long filledMs;
        long used;
    }

    private final double slack;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private int sidecars = 1;

    /** Up to when the control plane's word covers others' use. */
    private long coveredMs = Long.MIN_VALUE;

    private boolean stale = true;

    /** A ledger for a deployment whose rule lets quotas be passed by {@code slack} tokens. */
    public QuotaLedger(double slack) {
        this.slack = slack;
    }

    /** How many sidecars there are. */
    public void place(int all) {
        sidecars = Math.max(1, all);
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
        watch(nowMs);
        Bucket bucket = bucket(nowMs, tenant);
        double overdraft = tenant.countsTokens() ? OVERDRAFT * slack / sidecars : 0;
        if (tenant.isLimited() && bucket.level + overdraft <= 0) {
            double rate = stale ? share(tenant) : tenant.ratePerS();
            double wait = -(bucket.level + overdraft) / rate * 1000;
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
                            fresh.level = FIRST_LEVEL * tenant.burst() / sidecars;
                            fresh.filledMs = nowMs;
                            return fresh;
                        });
        bucket.tenant = tenant;
        fill(nowMs, bucket);
        return bucket;
    }

    private double share(Tenant tenant) {
        return tenant.ratePerS() / sidecars;
    }

    private void fill(long nowMs, Bucket bucket) {
        add(bucket, share(bucket.tenant) * (nowMs - bucket.filledMs) / 1000);
        bucket.filledMs = nowMs;
    }

    private static void add(Bucket bucket, double amount) {
        bucket.level = Math.min(bucket.tenant.burst() - bucket.reserved, bucket.level + amount);
    }

    /** Sets aside what others may use of what is left, once no word has come for a while. */
    private void watch(long nowMs) {
        if (stale || nowMs - coveredMs <= STALE_MS) {
            return;
        }
        stale = true;
        for (Bucket bucket : buckets.values()) {
            fill(nowMs, bucket);
            bucket.reserved = Math.max(0, bucket.level) * (sidecars - 1) / sidecars;
            bucket.level -= bucket.reserved;
        }
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
     * The control plane's word on what others use.
     *
     * @param upToMs the word covers what was used until then
     * @param others what other sidecars have used since the word before; tenants with none are left
     *     out
     * @param continuous no word is missing between this one and the one before: else the time
     *     between them is not covered
     */
    public void word(long nowMs, long upToMs, Map<String, Long> others, boolean continuous) {
        watch(nowMs);
        double coveredS = continuous ? Math.max(0, upToMs - coveredMs) / 1000.0 : 0;
        for (Map.Entry<String, Bucket> entry : buckets.entrySet()) {
            Bucket bucket = entry.getValue();
            fill(nowMs, bucket);
            double left = continuous ? bucket.reserved : 0;
            bucket.reserved = 0;
            double filled = (bucket.tenant.ratePerS() - share(bucket.tenant)) * coveredS;
            add(bucket, left + filled - others.getOrDefault(entry.getKey(), 0L));
        }
        coveredMs = continuous ? Math.max(coveredMs, upToMs) : upToMs;
        stale = false;
    }
}
