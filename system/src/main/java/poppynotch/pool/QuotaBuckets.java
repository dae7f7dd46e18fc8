package poppynotch.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
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
 * be passed is what others use while their word is under way. Between two words a sidecar gives out
 * a share of what is left, or more while the tenant uses much less than that. When no word has come
 * for a while, only an even share of what was left is given out.
 */
public final class QuotaBuckets {

    /**
     * The part of what a quota may be passed by that is given out like a burst, so that a tenant
     * within its quota is not refused for what the sidecars do not know of each other. The rest is
     * for what they grant at the same moment. Bound by {@code QuotaSchedulesTest}.
     */
    private static final double HEADROOM_PART = 0.09;

    /**
     * The part of a burst that all sidecars together take to be left when they have just started.
     */
    private static final double FIRST_LEVEL = 0.5;

    /**
     * Even shares of what is left that a sidecar may give out until the next word: more than one,
     * as a tenant's requests are not spread evenly.
     */
    static final double SHARES = 2;

    /**
     * What others may use before the next words tell of it: so many times what they did lately, for
     * so long. What is left beyond that is nobody's share.
     */
    private static final double GROWTH = 3;

    private static final double UNTOLD_MS = 600;

    /** A tenant is taken to use at least this part of its rate. */
    private static final double LEAST_USE = 0.4;

    /** One sidecar has at most this part of what is left, if it has no larger share. */
    static final double MOST_SURPLUS = 0.4;

    /** How long a tenant's use counts in what it did lately. */
    private static final double USE_FADE_MS = 2000;

    /** Bounds of the time to come back that a refusal tells. */
    private static final long LONGEST_WAIT_MS = 10_000;

    private static final long LEAST_WAIT_MS = 50;

    /** A tenant that was refused nothing for so long is no longer short of quota. */
    private static final long SHORTAGE_ENDS_MS = 1000;

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

        /** Lately used at all sidecars. */
        double allRecent;

        long fadedMs;

        /** Since when requests have been refused for want of quota, and the latest of them. */
        long shortSinceMs;

        long refusedMs = Long.MIN_VALUE / 2;
    }

    private final QuotaTolerance tolerance;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private int sidecars = 1;

    /** How many sidecars' use the latest word covered. */
    private int reporting;

    /** Up to when the control plane's word covers others' use. */
    private long coveredMs = Long.MIN_VALUE;

    /** When allowances were last renewed. */
    private long renewedMs = Long.MIN_VALUE / 2;

    /** A ledger for a deployment that bears some use beyond the quotas. */
    public QuotaBuckets(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
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
        if (tenant.isLimited() && available(bucket) <= 0) {
            return waitInShortage(nowMs, bucket);
        }
        if (tenant.isLimited() && bucket.allowance <= 0) {
            return WORD_MS;
        }
        bucket.level -= amount;
        bucket.allowance -= amount;
        bucket.used += amount;
        bucket.usedSinceWord += amount;
        bucket.usedSinceRenewal += amount;
        return 0;
    }

    /** Why requests of a tenant are refused, or are not, for logs. */
    public String explain(Tenant tenant) {
        Bucket bucket = buckets.get(tenant.name());
        return bucket == null
                ? "nothing is known of " + tenant.name()
                : String.format(
                        Locale.ROOT,
                        "%s: left %.0f of %.0f, here %.0f, %d of %d edges heard of",
                        tenant.name(),
                        available(bucket),
                        tenant.burst() + headroom(tenant),
                        bucket.allowance,
                        reporting,
                        sidecars);
    }

    /** What may be given out: a bucket may be overdrawn by its headroom. */
    private double available(Bucket bucket) {
        return bucket.level + headroom(bucket.tenant);
    }

    private double headroom(Tenant tenant) {
        return HEADROOM_PART * tolerance.of(tenant);
    }

    /**
     * The time until the bucket fills again, or as long as the shortage has lasted so far: a tenant
     * that asks for more than its rate all the time finds nothing left a moment later.
     */
    private long waitInShortage(long nowMs, Bucket bucket) {
        if (nowMs - bucket.refusedMs > SHORTAGE_ENDS_MS) {
            bucket.shortSinceMs = nowMs;
        }
        bucket.refusedMs = nowMs;
        long untilFilledMs = (long) (-available(bucket) / bucket.tenant.ratePerS() * 1000);
        long wait = Math.max(untilFilledMs, nowMs - bucket.shortSinceMs);
        return Math.max(LEAST_WAIT_MS, Math.min(LONGEST_WAIT_MS, wait));
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
                            fresh.allowance = FIRST_LEVEL * tenant.burst() / sidecars;
                            fresh.level = fresh.allowance - headroom(tenant);
                            fresh.filledMs = nowMs;
                            fresh.tenant = tenant;
                            assumeFullUse(nowMs, fresh);
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
        double most = bucket.tenant.burst() + headroom(bucket.tenant);
        bucket.allowance = Math.min(most, bucket.allowance + added);
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
        this.reporting = reporting;
        boolean covers = continuous && gapMs <= LONGEST_GAP_MS;
        boolean renews = nowMs - renewedMs >= WORD_MS;
        renewedMs = renews ? nowMs : renewedMs;
        double othersPart = Math.max(0, Math.min(reporting, sidecars) - 1) / (double) sidecars;
        for (Map.Entry<String, Bucket> entry : buckets.entrySet()) {
            Bucket bucket = entry.getValue();
            fill(nowMs, bucket);
            if (covers) {
                double filled = bucket.tenant.ratePerS() * othersPart * gapMs / 1000;
                long othersUse = others.getOrDefault(entry.getKey(), 0L);
                add(bucket, filled - othersUse);
                countRecent(nowMs, bucket, othersUse);
                if (renews) {
                    renewAllowance(bucket);
                }
            } else {
                // Others may have used all but this sidecar's share of what was left.
                double left = Math.min(available(bucket), available(bucket) / sidecars);
                bucket.level = left - headroom(bucket.tenant);
                bucket.allowance = Math.min(bucket.allowance, left);
                assumeFullUse(nowMs, bucket);
                bucket.usedSinceRenewal = 0;
                double own = share(bucket.tenant) * gapMs / 1000;
                long ownUse = (long) Math.min(own, Math.max(0, bucket.usedSinceWord));
                bucket.untold = Math.min(bucket.untold + ownUse, bucket.used - bucket.told);
            }
            bucket.usedSinceWord = 0;
        }
        coveredMs = Math.max(coveredMs, upToMs);
    }

    /** Where nothing is known of it, a tenant is taken to have used its rate. */
    private void assumeFullUse(long nowMs, Bucket bucket) {
        bucket.allRecent = bucket.tenant.ratePerS() * USE_FADE_MS / 1000;
        bucket.fadedMs = nowMs;
    }

    private static void countRecent(long nowMs, Bucket bucket, long othersUse) {
        double kept = Math.exp(-(nowMs - bucket.fadedMs) / USE_FADE_MS);
        long ownUse = bucket.usedSinceWord;
        bucket.allRecent = Math.max(0, bucket.allRecent * kept + ownUse + othersUse);
        bucket.fadedMs = nowMs;
    }

    private void renewAllowance(Bucket bucket) {
        double overdraft = Math.min(headroom(bucket.tenant), Math.max(0, available(bucket)));
        double left = overdraft + Math.max(0, bucket.level) * SHARES;
        // What was used since the renewal before may not be in the words to the others yet.
        bucket.allowance = Math.max(left / sidecars, surplus(bucket)) - bucket.usedSinceRenewal;
        bucket.usedSinceRenewal = 0;
    }

    /**
     * What any sidecar may give out as all others are heard of, and use less than would empty the
     * bucket before that is told.
     */
    private double surplus(Bucket bucket) {
        if (reporting < sidecars) {
            return 0;
        }
        double usePerMs = bucket.allRecent / USE_FADE_MS;
        double leastPerMs = LEAST_USE * bucket.tenant.ratePerS() / 1000;
        double untold = GROWTH * UNTOLD_MS * Math.max(usePerMs, leastPerMs);
        return Math.min(available(bucket) - untold, MOST_SURPLUS * available(bucket));
    }
}
