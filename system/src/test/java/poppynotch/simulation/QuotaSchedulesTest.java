package poppynotch.simulation;

import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/**
 * Guards against tenants that are granted more tokens in a time window than their quota and its
 * tolerance allow: the demand is several times the rate and unevenly distributed over the edges,
 * while replicas and edges fail.
 */
class QuotaSchedulesTest {

    private static final int SCHEDULE_COUNT = 200;

    private static final FaultInjection.Kind[] KINDS = {
        FaultInjection.Kind.KILL_ALL,
        FaultInjection.Kind.SPLIT,
        FaultInjection.Kind.CUT_ALL,
        FaultInjection.Kind.KILL,
        FaultInjection.Kind.FREEZE,
        FaultInjection.Kind.EDGE_KILL,
        FaultInjection.Kind.EDGE_CUT
    };

    private record Result(long seed, long maxWindowTokens, long totalTokens, double durationS) {}

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    private static Result run(long seed, double demandFactor, FaultInjection.Kind... kinds) {
        QuotaTraffic traffic = QuotaTraffic.withDemandFactor(demandFactor);
        FaultSchedule schedule =
                kinds.length == 0
                        ? new FaultSchedule(seed, ClusterSize.of(seed), List.of())
                        : FaultSchedule.draw(seed, ClusterSize.of(seed), kinds);
        SimulationRun.run(schedule, SeededDefect.NONE, traffic);
        return new Result(
                seed, traffic.maxWindowTokens(), traffic.totalTokens(), traffic.durationS());
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3, 6, 12})
    void grantsNoMoreThanQuotaAllowsInAnyWindow(double demandFactor) {
        List<Result> exceeding =
                LongStream.rangeClosed(1, SCHEDULE_COUNT)
                        .parallel()
                        .mapToObj(seed -> run(seed, demandFactor, KINDS))
                        .filter(
                                result ->
                                        result.maxWindowTokens()
                                                > QuotaTraffic.maxAllowedWindowTokens())
                        .toList();
        assertWithMessage("allowed are " + QuotaTraffic.maxAllowedWindowTokens())
                .that(exceeding)
                .isEmpty();
    }

    /** Guards against requests that are rejected though the quota allows them. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9, 1.5, 6})
    void grantsDemandUpToQuotaWithoutFaults(double demandFactor) {
        for (long seed = 1; seed <= 4; seed++) {
            Result result = run(seed, demandFactor);
            double expectedTokens =
                    Math.min(demandFactor, 1) * QuotaTraffic.RATE_TOKENS_PER_S * result.durationS();
            assertWithMessage("granted for seed " + seed)
                    .that((double) result.totalTokens())
                    .isAtLeast(0.95 * expectedTokens);
        }
    }
}
