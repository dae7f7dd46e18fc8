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

    /**
     * Even shares of what is left that a sidecar may give out until the next word: more than one,
     * as a tenant's requests are not spread evenly.
     */
    static final double SHARES = 2;

    private static final long LONGEST_WAIT_MS = 2000;
    private static final long LEAST_WAIT_MS = 50;

    /** A word comes about so often, or sooner; allowances are renewed no more often. */
    private static final long WORD_MS = 200;

    /** A longer time between two words counts as covered by none. */
    static final long LONGEST_GAP_MS = 1000;

    private static final class Bucket {
        Tenant tenant;
        double level;

        /** What may be given out here until the next word. */
        double allowance;

        long filledMs;

        /** Used here since this process started. */
        long used;

        long usedSinceWord;

        /** Since the allowance was renewed. */
        long usedSinceRenewal;

        /** The part of {@code used} that was this sidecar's own share while no word came. */
        long untold;

        /** What the control plane may have been told to be used here. */
        long told;
    }

    private final double slack;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private int sidecars = 1;

    /** Up to when the control plane's word covers others' use. */
    private long coveredMs = Long.MIN_VALUE;

    /** When allowances were last renewed. */
    private long renewedMs = Long.MIN_VALUE / 2;

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
        Bucket bucket = bucket(nowMs, tenant);
        double overdraft = tenant.countsTokens() ? OVERDRAFT * slack / sidecars : 0;
        if (tenant.isLimited() && bucket.level + overdraft <= 0) {
            double wait = -(bucket.level + overdraft) / tenant.ratePerS() * 1000;
            return Math.max(LEAST_WAIT_MS, Math.min(LONGEST_WAIT_MS, (long) wait));
        }
        if (tenant.isLimited() && bucket.allowance + overdraft <= 0) {
            return WORD_MS;
        }
        bucket.level -= amount;
        bucket.allowance -= amount;
        bucket.used += amount;
        bucket.usedSinceWord += amount;
        bucket.usedSinceRenewal += amount;
        return 0;
    }

    /** What was taken for a request that has not run. */
    public void giveBack(long nowMs, Tenant tenant, long amount) {
        Bucket bucket = bucket(nowMs, tenant);
        bucket.level = Math.min(tenant.burst(), bucket.level + amount);
        bucket.allowance += amount;
        bucket.used -= amount;
        bucket.usedSinceWord -= amount;
        bucket.usedSinceRenewal -= amount;
    }

    private Bucket bucket(long nowMs, Tenant tenant) {
        Bucket bucket =
                buckets.computeIfAbsent(
                        tenant.name(),
                        name -> {
                            Bucket fresh = new Bucket();
                            fresh.level = FIRST_LEVEL * tenant.burst() / sidecars;
                            fresh.allowance = fresh.level;
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
        double added = share(bucket.tenant) * (nowMs - bucket.filledMs) / 1000;
        add(bucket, added);
        bucket.allowance = Math.min(bucket.tenant.burst(), bucket.allowance + added);
        bucket.filledMs = nowMs;
    }

    private static void add(Bucket bucket, double amount) {
        bucket.level = Math.min(bucket.tenant.burst(), bucket.level + amount);
    }

    /**
     * What tenants have used here since this process started, as far as it is the others' concern:
     * to be told to the control plane. It never goes back.
     */
    public Map<String, Long> used(long nowMs) {
        boolean cutOff = gapMs(nowMs) > LONGEST_GAP_MS;
        Map<String, Long> used = new HashMap<>();
        buckets.forEach(
                (name, bucket) -> {
                    long since = cutOff ? Math.max(0, bucket.usedSinceWord) : 0;
                    bucket.told = Math.max(bucket.told, bucket.used - bucket.untold - since);
                    if (bucket.told > 0) {
                        used.put(name, bucket.told);
                    }
                });
        return used;
    }

    /** The time up to one that no word covers. */
    private long gapMs(long untilMs) {
        return coveredMs == Long.MIN_VALUE ? 0 : Math.max(0, untilMs - coveredMs);
    }

    /**
     * The control plane's word on what others use.
     *
     * @param upToMs the word covers what was used until then
     * @param others what other sidecars have used since the word before; tenants with none are left
     *     out
     * @param reporting how many sidecars' use it covers, this one's included
     * @param continuous no word is missing between this one and the one before
     */
    public void word(
            long nowMs, long upToMs, Map<String, Long> others, int reporting, boolean continuous) {
        long gapMs = gapMs(upToMs);
        boolean covers = continuous && gapMs <= LONGEST_GAP_MS;
        boolean renews = nowMs - renewedMs >= WORD_MS;
        renewedMs = renews ? nowMs : renewedMs;
        double othersPart = Math.max(0, Math.min(reporting, sidecars) - 1) / (double) sidecars;
        for (Map.Entry<String, Bucket> entry : buckets.entrySet()) {
            Bucket bucket = entry.getValue();
            fill(nowMs, bucket);
            if (covers) {
                double filled = bucket.tenant.ratePerS() * othersPart * gapMs / 1000;
                add(bucket, filled - others.getOrDefault(entry.getKey(), 0L));
                if (renews) {
                    renewAllowance(bucket);
                }
            } else {
                // Others may have used all but this sidecar's share of what was left.
                bucket.level = Math.min(bucket.level, bucket.level / sidecars);
                bucket.allowance = Math.min(bucket.allowance, bucket.level);
                bucket.usedSinceRenewal = 0;
                double own = share(bucket.tenant) * gapMs / 1000;
                long ownUse = (long) Math.min(own, Math.max(0, bucket.usedSinceWord));
                bucket.untold = Math.min(bucket.untold + ownUse, bucket.used - bucket.told);
            }
            bucket.usedSinceWord = 0;
        }
        coveredMs = Math.max(coveredMs, upToMs);
    }

    private void renewAllowance(Bucket bucket) {
        double left = Math.max(0, bucket.level) * SHARES / sidecars;
        // What was used since the renewal before may not be in the words to the others yet.
        bucket.allowance = left - bucket.usedSinceRenewal;
        bucket.usedSinceRenewal = 0;
    }
}
