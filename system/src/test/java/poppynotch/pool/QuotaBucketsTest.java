package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.config.Tenant;

class QuotaBucketsTest {

    private static final Tenant TENANT =
            new Tenant("t", List.of("k"), 0, true, 200, 10_000, 20_000);

    /** What one of six gives out of a full bucket before the next word. */
    private static final double MOST_AT_ONCE =
            Math.max(QuotaBuckets.SHARES / 6, QuotaBuckets.MOST_SURPLUS) * 20_000;

    private static QuotaBuckets ledger(QuotaTolerance tolerance) {
        QuotaBuckets ledger = new QuotaBuckets(tolerance);
        ledger.configure(0, List.of(TENANT));
        return ledger;
    }

    /** One of six, with a full bucket, that hears every 200 ms up to 2 s. */
    private static QuotaBuckets oneOfSix() {
        QuotaBuckets ledger = new QuotaBuckets(QuotaTolerance.NONE);
        ledger.place(6);
        ledger.configure(0, List.of(TENANT));
        for (long now = 0; now <= 2000; now += 200) {
            ledger.word(now, now, Map.of(), 6, now > 0);
        }
        return ledger;
    }

    private static long granted(QuotaBuckets ledger, long fromMs, long toMs, long amount) {
        long granted = 0;
        for (long now = fromMs; now < toMs; now += 20) {
            while (ledger.take(now, TENANT, amount) == 0) {
                granted += amount;
            }
        }
        return granted;
    }

    @Test
    void withinTheRateNothingIsRefused() {
        QuotaBuckets ledger = ledger(QuotaTolerance.NONE);
        for (long now = 0; now < 60_000; now += 100) {
            assertThat(ledger.take(now, TENANT, 990)).isEqualTo(0);
        }
    }

    @Test
    void beyondItATimeToComeBackIsTold() {
        QuotaBuckets ledger = ledger(QuotaTolerance.NONE);
        assertThat(ledger.take(0, TENANT, 30_000)).isEqualTo(0);
        long wait = ledger.take(0, TENANT, 100);
        assertThat(wait).isGreaterThan(0L);
        assertThat(ledger.take(wait + 1500, TENANT, 100)).isEqualTo(0);
    }

    /** Who asks for more than the rate all the time finds nothing left a moment later. */
    @Test
    void theTimeToComeBackGrowsWithAShortage() {
        QuotaBuckets ledger = ledger(QuotaTolerance.NONE);
        long wait = 0;
        for (long now = 0; now < 5000; now += 100) {
            wait = Math.max(wait, ledger.take(now, TENANT, 5000));
        }
        assertThat(wait).isAtLeast(3500L);
        assertThat(ledger.take(8000, TENANT, 30_000)).isEqualTo(0);
        assertThat(ledger.take(8000, TENANT, 100)).isLessThan(1500L);
    }

    @Test
    void whatHasNotRunIsGivenBack() {
        QuotaBuckets ledger = ledger(QuotaTolerance.NONE);
        assertThat(ledger.take(0, TENANT, 30_000)).isEqualTo(0);
        ledger.giveBack(0, TENANT, 30_000);
        assertThat(ledger.take(0, TENANT, 100)).isEqualTo(0);
    }

    @Test
    void whatOthersUseCountsToo() {
        QuotaBuckets ledger = oneOfSix();
        ledger.word(2200, 2200, Map.of("t", 45_000L), 6, true);
        assertThat(ledger.take(2200, TENANT, 1)).isGreaterThan(0L);
    }

    /** Words come, and nobody else uses anything: the whole rate is this one's. */
    @Test
    void oneSidecarMayUseTheWholeRate() {
        QuotaBuckets ledger = oneOfSix();
        long granted = 0;
        for (long now = 2000; now < 12_000; now += 200) {
            granted += granted(ledger, now, now + 200, 500);
            ledger.word(now + 200, now + 200, Map.of(), 6, true);
        }
        assertThat((double) granted).isAtLeast(0.97 * 10_000 * 10);
        assertThat((double) granted).isAtMost(20_000 + 10_000 * 10 + 1000);
    }

    /** The control plane falls silent: shares of what was left, and of the rate from then on. */
    @Test
    void aSidecarThatHearsNothingGivesOutShares() {
        QuotaBuckets ledger = oneOfSix();
        long granted = granted(ledger, 2000, 14_000, 500);
        assertThat((double) granted).isAtMost(MOST_AT_ONCE + 10_000.0 / 6 * 12 + 500);
        assertThat((double) granted).isAtLeast(20_000.0 / 6 + 10_000.0 / 6 * 10.5);
    }

    /** Between the last word and the end of contact each used to give out the whole rate. */
    @Test
    void untilTheNextWordOnlyTheShareIsGivenOut() {
        QuotaBuckets ledger = oneOfSix();
        ledger.word(2200, 2200, Map.of("t", 22_000L), 6, true);
        long granted = granted(ledger, 2200, 2800, 100);
        assertThat((double) granted).isAtMost(10_000.0 / 6 * 0.6 + 200);
    }

    /** Words that come with each change of the configuration give out no more. */
    @Test
    void wordsInQuickSuccessionRenewTheAllowanceOnlyNowAndThen() {
        QuotaBuckets ledger = oneOfSix();
        long granted = 0;
        for (long now = 2000; now < 2200; now += 20) {
            granted += granted(ledger, now, now + 20, 100);
            ledger.word(now + 19, now + 19, Map.of(), 6, true);
        }
        assertThat((double) granted).isAtMost(MOST_AT_ONCE + 10_000.0 / 6 * 0.2 + 200);
    }

    /** A request is let through now and then while anything is left, however large it is. */
    @Test
    void aLargeRequestIsLetThroughWithEverySecondWord() {
        QuotaBuckets ledger = oneOfSix();
        assertThat(ledger.take(2000, TENANT, 9000)).isEqualTo(0);
        assertThat(ledger.take(2000, TENANT, 9000)).isGreaterThan(0L);
        ledger.word(2200, 2200, Map.of("t", 2000L), 6, true);
        assertThat(ledger.take(2200, TENANT, 9000)).isGreaterThan(0L);
        ledger.word(2400, 2400, Map.of("t", 2000L), 6, true);
        assertThat(ledger.take(2400, TENANT, 9000)).isEqualTo(0);
    }

    /** Nobody knows what was used between the words of two core processes. */
    @Test
    void theTimeBetweenTwoCoreProcessesIsNotFilledUp() {
        QuotaBuckets ledger = oneOfSix();
        long before = granted(ledger, 2000, 2001, 100);
        // Before it has used anything its share lies below the even one, as others may have used
        // all.
        assertThat((double) before).isAtLeast(0.7 * QuotaBuckets.SHARES * 20_000.0 / 6);
        ledger.word(5000, 5000, Map.of(), 6, false);
        assertThat((double) granted(ledger, 5000, 5001, 100)).isAtMost(10_000.0 / 6 * 3 + 200);
    }

    /** Two of six are not heard of: they may serve on by their shares. */
    @Test
    void theSharesOfSidecarsThatAreNotHeardOfAreLeftToThem() {
        QuotaBuckets ledger = oneOfSix();
        long granted = 0;
        for (long now = 2000; now < 12_000; now += 200) {
            granted += granted(ledger, now, now + 200, 100);
            ledger.word(now + 200, now + 200, Map.of(), 4, true);
        }
        assertThat((double) granted).isAtMost(20_000 + 10_000 * 10 * 4.0 / 6 + 1000);
        assertThat((double) granted).isAtLeast(10_000 * 10 * 4.0 / 6);
    }

    /** Others have had all but its share while it was cut off: its use of that is not theirs. */
    @Test
    void whatWasUsedOfTheOwnShareWhileCutOffIsNotTold() {
        QuotaBuckets ledger = oneOfSix();
        assertThat(ledger.take(2000, TENANT, 4000)).isEqualTo(0);
        ledger.word(2200, 2200, Map.of(), 6, true);
        long before = ledger.used(2200).get("t");
        long meanwhile = granted(ledger, 2220, 8000, 100);
        // A core process without a quorum takes its word all the same.
        assertThat((double) (ledger.used(7000).get("t") - before)).isAtMost(300.0);
        ledger.word(8000, 8000, Map.of(), 6, true);
        assertThat((double) meanwhile).isAtLeast(8000.0);
        // What it had left of an allowance besides is told: others did not reckon with that.
        double beyondShare = Math.max(0, meanwhile - 10_000.0 / 6 * 5.8);
        assertThat((double) (ledger.used(8000).get("t") - before)).isAtMost(beyondShare + 300.0);
        ledger.word(8200, 8200, Map.of(), 6, true);
        long after = granted(ledger, 8200, 8201, 100);
        assertThat(after).isGreaterThan(0L);
        assertThat((double) (ledger.used(8200).get("t") - before)).isAtLeast(after - 1.0);
        assertThat((double) (ledger.used(8200).get("t") - before))
                .isAtMost(beyondShare + after + 300.0);
    }

    /** All sidecars start anew at once: together they have no more than a part of the burst. */
    @Test
    void sidecarsThatStartShareAPartOfTheBurst() {
        long granted = 0;
        for (int i = 0; i < 6; i++) {
            QuotaBuckets ledger = new QuotaBuckets(QuotaTolerance.NONE);
            ledger.place(6);
            ledger.configure(0, List.of(TENANT));
            granted += granted(ledger, 0, 1, 10);
        }
        assertThat((double) granted).isAtMost(10_000.0 + 6 * 10);
    }

    /** Six sidecars and a sum that comes 400 ms late: each window holds the rule's bound. */
    @Test
    void sidecarsTogetherKeepTheBound() {
        double slack = 20_000;
        SplittableRandom random = new SplittableRandom(3);
        List<QuotaBuckets> ledgers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ledgers.add(ledger(new QuotaTolerance(0.1, slack, 8000)));
            ledgers.get(i).place(6);
        }
        long[] own = new long[6];
        List<long[]> reports = new ArrayList<>();
        Long[] before = new Long[1];
        long[] beforeOwn = new long[6];
        List<long[]> granted = new ArrayList<>();
        for (long now = 0; now < 40_000; now += 20) {
            int at = random.nextInt(3) == 0 ? random.nextInt(6) : 0;
            if (ledgers.get(at).take(now, TENANT, 1200) == 0) {
                own[at] += 1200;
                granted.add(new long[] {now, 1200});
            }
            reports.add(own.clone());
            if (reports.size() > 20 && now % 200 == 0) {
                long[] late = reports.get(reports.size() - 20);
                long total = java.util.Arrays.stream(late).sum();
                boolean first = before[0] == null;
                for (int i = 0; i < 6; i++) {
                    long others = first ? 0 : total - late[i] - (before[0] - beforeOwn[i]);
                    ledgers.get(i).word(now, now - 400, Map.of("t", others), 6, !first);
                }
                before[0] = total;
                beforeOwn = late;
            }
        }
        for (long[] start : granted) {
            long inWindow =
                    granted.stream()
                            .filter(g -> g[0] >= start[0] && g[0] < start[0] + 8000)
                            .mapToLong(g -> g[1])
                            .sum();
            assertThat((double) inWindow).isAtMost((10_000 * 8 + 20_000) * 1.1 + slack);
        }
        long sum = granted.stream().mapToLong(g -> g[1]).sum();
        assertThat((double) sum).isAtLeast(0.95 * 10_000 * 40);
    }
}
