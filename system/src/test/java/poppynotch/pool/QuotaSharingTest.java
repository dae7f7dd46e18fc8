package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import poppynotch.config.Tenant;

/**
 * Many sidecars share the quota of a tenant whose requests are large and come in at a few of them.
 * Each hears of the others' use some hundred ms late.
 */
class QuotaSharingTest {

    /** The burst, in seconds of the rate. */
    private static final double BURST_S = 1.6;

    private static final double OVER = 0.1;
    private static final double SLACK = 190_000;
    private static final long WINDOW_MS = 8000;
    private static final long STEP_MS = 10;
    private static final long WORD_MS = 200;
    private static final int STEPS_LATE = 40;
    private static final int SEEDS = 10;

    private static Tenant tenant(double ratePerS) {
        return new Tenant("t", List.of("k"), 0, true, 200, ratePerS, BURST_S * ratePerS);
    }

    /** What became of the requests. */
    private static final class Result {
        int asked;
        int refused;

        /** Refused though a bucket of all that was used would have had something left. */
        int refusedWithinQuota;

        long mostInWindow;
        long granted;
    }

    /** A prompt's tokens: many of some thousands, a few of many times that. */
    private static long tokens(SplittableRandom random) {
        double drawn = Math.exp(1.0 * random.nextGaussian()) * 6000;
        return Math.max(200, Math.min(90_000, (long) drawn));
    }

    /**
     * Plays requests at {@code demand} times the rate, but {@code hotDemand} times from the 10th to
     * the 20th second.
     */
    private static Result play(
            long seed,
            Tenant tenant,
            int sidecars,
            int busySidecars,
            double demand,
            double hotDemand) {
        SplittableRandom random = new SplittableRandom(seed);
        List<QuotaBuckets> ledgers = new ArrayList<>();
        for (int i = 0; i < sidecars; i++) {
            QuotaBuckets ledger = new QuotaBuckets(new QuotaTolerance(OVER, SLACK, WINDOW_MS));
            ledger.place(sidecars);
            ledger.configure(0, List.of(tenant));
            ledgers.add(ledger);
        }
        Result result = new Result();
        long[] used = new long[sidecars];
        List<long[]> history = new ArrayList<>();
        Map<Integer, long[]> toldBefore = new HashMap<>();
        Deque<long[]> window = new ArrayDeque<>();
        long inWindow = 0;
        double left = tenant.burst();
        double due = 0;
        for (long now = 0; now < 32_000; now += STEP_MS) {
            left = Math.min(tenant.burst(), left + tenant.ratePerS() * STEP_MS / 1000);
            boolean traffic = now >= 5000;
            boolean hot = now >= 10_000 && now < 20_000;
            due += traffic ? (hot ? hotDemand : demand) * tenant.ratePerS() * STEP_MS / 1000 : 0;
            while (!window.isEmpty() && window.peek()[0] <= now - WINDOW_MS) {
                inWindow -= window.poll()[1];
            }
            while (due > 0) {
                long amount = tokens(random);
                due -= amount;
                int at = random.nextInt(1 + random.nextInt(busySidecars));
                result.asked++;
                if (ledgers.get(at).take(now, tenant, amount) == 0) {
                    used[at] += amount;
                    left -= amount;
                    window.add(new long[] {now, amount});
                    inWindow += amount;
                    result.granted += amount;
                    result.mostInWindow = Math.max(result.mostInWindow, inWindow);
                } else {
                    result.refused++;
                    result.refusedWithinQuota += left > 0 ? 1 : 0;
                }
            }
            history.add(used.clone());
            tell(now, sidecars, ledgers, history, toldBefore);
        }
        return result;
    }

    private static void tell(
            long now,
            int sidecars,
            List<QuotaBuckets> ledgers,
            List<long[]> history,
            Map<Integer, long[]> toldBefore) {
        if (history.size() <= STEPS_LATE) {
            return;
        }
        long[] late = history.get(history.size() - 1 - STEPS_LATE);
        long sum = Arrays.stream(late).sum();
        for (int i = 0; i < sidecars; i++) {
            if ((now / STEP_MS + i) % (WORD_MS / STEP_MS) == 0) {
                long others = sum - late[i];
                long[] before = toldBefore.put(i, new long[] {others});
                long since = before == null ? 0 : others - before[0];
                ledgers.get(i)
                        .word(
                                now,
                                now - STEPS_LATE * STEP_MS,
                                Map.of("t", since),
                                sidecars,
                                before != null);
            }
        }
    }

    private static double allowed(Tenant tenant) {
        double quota = tenant.ratePerS() * WINDOW_MS / 1000 + tenant.burst();
        return quota * (1 + OVER) + SLACK;
    }

    /** A tenant below its rate whose requests come in at a few sidecars is refused next to none. */
    @ParameterizedTest
    @CsvSource({"17, 17", "17, 4", "89, 89", "89, 20", "380, 20"})
    void aTenantWithinItsQuotaIsServed(int sidecars, int busy) {
        int asked = 0;
        int refused = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = play(seed, tenant(60_000), sidecars, busy, 0.75, 0.75);
            asked += result.asked;
            refused += result.refused;
        }
        assertThat((double) refused / asked).isLessThan(0.06);
    }

    /** One far beyond it gets its rate, and no window more than the rule allows. */
    @ParameterizedTest
    @CsvSource({
        "47000, 17, 17, 2.4",
        "47000, 89, 89, 2.4",
        "150000, 17, 17, 4.6",
        "150000, 17, 6, 4.6",
        "150000, 89, 89, 4.6",
        "600000, 89, 89, 4.6",
        "600000, 89, 30, 4.6",
        "1200000, 89, 89, 4.6"
    })
    void aTenantBeyondItsQuotaGetsIt(double ratePerS, int sidecars, int busy, double hot) {
        Tenant tenant = tenant(ratePerS);
        double granted = 0;
        double due = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = play(seed, tenant, sidecars, busy, 0.75, hot);
            assertThat((double) result.mostInWindow).isAtMost(allowed(tenant));
            granted += result.granted;
            // 17 s at three quarters of the rate, 10 s at the rate and the burst.
            due += ratePerS * (17 * 0.75 + 10 + BURST_S);
        }
        assertThat(granted / due).isGreaterThan(0.9);
    }

    /** Few are refused that a bucket of all that was used would have had something for. */
    @ParameterizedTest
    @CsvSource({"47000, 17, 17", "47000, 89, 89", "47000, 89, 20"})
    void aSmallTenantIsRefusedLittleWithinItsQuota(double ratePerS, int sidecars, int busy) {
        int asked = 0;
        int refused = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Result result = play(seed, tenant(ratePerS), sidecars, busy, 0.4, 2.4);
            asked += result.asked;
            refused += result.refusedWithinQuota;
        }
        assertThat((double) refused / asked).isLessThan(0.06);
    }
}
