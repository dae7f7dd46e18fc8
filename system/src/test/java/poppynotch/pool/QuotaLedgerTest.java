package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.config.Tenant;

class QuotaLedgerTest {

    private static final Tenant TENANT =
            new Tenant("t", List.of("k"), 0, true, 200, 10_000, 20_000);

    private static QuotaLedger ledger(double slack) {
        QuotaLedger ledger = new QuotaLedger(slack);
        ledger.configure(0, List.of(TENANT));
        return ledger;
    }

    @Test
    void withinTheRateNothingIsRefused() {
        QuotaLedger ledger = ledger(0);
        for (long now = 0; now < 60_000; now += 100) {
            assertThat(ledger.take(now, TENANT, 990)).isEqualTo(0);
        }
    }

    @Test
    void beyondItATimeToComeBackIsTold() {
        QuotaLedger ledger = ledger(0);
        assertThat(ledger.take(0, TENANT, 30_000)).isEqualTo(0);
        long wait = ledger.take(0, TENANT, 100);
        assertThat(wait).isGreaterThan(0L);
        assertThat(ledger.take(wait + 1500, TENANT, 100)).isEqualTo(0);
    }

    @Test
    void whatHasNotRunIsGivenBack() {
        QuotaLedger ledger = ledger(0);
        assertThat(ledger.take(0, TENANT, 30_000)).isEqualTo(0);
        ledger.giveBack(0, TENANT, 30_000);
        assertThat(ledger.take(0, TENANT, 100)).isEqualTo(0);
    }

    @Test
    void whatOthersUseCountsToo() {
        QuotaLedger ledger = ledger(0);
        ledger.total(0, "t", 5000, 0, true);
        ledger.total(0, "t", 50_000, 0, false);
        assertThat(ledger.take(0, TENANT, 1)).isGreaterThan(0L);
    }

    @Test
    void ownUseInTheSumIsNotCountedTwice() {
        QuotaLedger ledger = ledger(0);
        ledger.take(0, TENANT, 9000);
        ledger.total(0, "t", 0, 0, true);
        ledger.total(0, "t", 9000, 9000, false);
        assertThat(ledger.take(0, TENANT, 100)).isEqualTo(0);
    }

    /**
     * One of six is cut off for a whole window: it gives out its share, the others what is left to
     * them.
     */
    @Test
    void aSidecarOutOfContactGivesOutAnEvenShare() {
        QuotaLedger alone = ledger(0);
        alone.place(6, true);
        long granted = 0;
        for (long now = 0; now < 12_000; now += 20) {
            granted += alone.take(now, TENANT, 500) == 0 ? 500 : 0;
        }
        assertThat((double) granted).isAtMost(TENANT.burst() + 10_000.0 / 6 * 12 + 500);
        assertThat((double) granted).isAtLeast(10_000.0 / 6 * 11);
    }

    /** Six sidecars and a sum that comes 400 ms late: each window holds the rule's bound. */
    @Test
    void sidecarsTogetherKeepTheBound() {
        double slack = 20_000;
        SplittableRandom random = new SplittableRandom(3);
        List<QuotaLedger> ledgers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            ledgers.add(ledger(slack));
            ledgers.get(i).place(6, false);
        }
        long[] own = new long[6];
        List<long[]> reports = new ArrayList<>();
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
                for (int i = 0; i < 6; i++) {
                    ledgers.get(i).total(now, "t", total, late[i], reports.size() <= 31);
                }
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
