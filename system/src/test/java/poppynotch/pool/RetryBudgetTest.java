package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against retry storms: edges that together send more retries than permitted, or an edge
 * that gains retries by restarting.
 */
class RetryBudgetTest {

    /** All requests of six edges fail. */
    @Test
    void edgesTogetherStayWithinTheLimitInEveryWindow() {
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            RetryBudget budget = new RetryBudget(0.2, 52, 10_000);
            budget.setEdgeCount(6, true);
            budgets.add(budget);
        }
        List<Long> firstAttempts = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long now = 0; now < 40_000; now += 10) {
            RetryBudget budget = budgets.get((int) (now / 10 % 6));
            budget.onFirstAttempt();
            firstAttempts.add(now);
            while (budget.trySpend(now)) {
                retries.add(now);
            }
        }
        for (long start = 0; start < 30_000; start += 500) {
            long from = start;
            long requests =
                    firstAttempts.stream().filter(at -> at >= from && at < from + 10_000).count();
            long retried = retries.stream().filter(at -> at >= from && at < from + 10_000).count();
            assertThat((double) retried).isAtMost(0.2 * requests + 52);
        }
    }

    @Test
    void permitsSomeRetriesWithoutFirstAttempts() {
        RetryBudget budget = new RetryBudget(0.2, 52, 10_000);
        budget.setEdgeCount(6, true);
        assertThat(budget.trySpend(0)).isTrue();
        assertThat(budget.trySpend(0)).isFalse();
        assertThat(budget.trySpend(10_000)).isTrue();
    }

    /** An edge that is killed repeatedly gains a single retry with each start. */
    @Test
    void permitsOneRetryAfterEachStart() {
        int retries = 0;
        for (int start = 0; start < 5; start++) {
            RetryBudget budget = new RetryBudget(0.2, 52, 10_000);
            budget.setEdgeCount(6, true);
            while (budget.trySpend(start * 2000L)) {
                retries++;
            }
        }
        assertThat(retries).isEqualTo(5);
    }

    @Test
    void shareGrowsGraduallyWhenOtherEdgesLeave() {
        RetryBudget budget = new RetryBudget(0.2, 60, 10_000);
        budget.setEdgeCount(6, true);
        assertThat(budget.trySpend(0)).isTrue();
        budget.setEdgeCount(1, false);
        assertThat(budget.trySpend(0)).isFalse();
        assertThat(budget.trySpend(1000)).isTrue();
    }
}
