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
 * A tenant at many times its rate, at edges with uneven shares of it, while core processes and
 * edges come and go: no window of time has more granted than the quota's rule allows.
 */
class QuotaSchedulesTest {

    private static final int SCHEDULES = 200;

    private static final FaultInjection.Kind[] KINDS = {
        FaultInjection.Kind.KILL_ALL,
        FaultInjection.Kind.SPLIT,
        FaultInjection.Kind.CUT_ALL,
        FaultInjection.Kind.KILL,
        FaultInjection.Kind.FREEZE,
        FaultInjection.Kind.EDGE_KILL,
        FaultInjection.Kind.EDGE_CUT
    };

    private record Result(long seed, long most, long total, double askedS) {}

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    private static Result play(long seed, double demand, FaultInjection.Kind... kinds) {
        QuotaTraffic traffic = QuotaTraffic.times(demand);
        FaultSchedule schedule =
                kinds.length == 0
                        ? new FaultSchedule(seed, ClusterSize.of(seed), List.of())
                        : FaultSchedule.draw(seed, ClusterSize.of(seed), kinds);
        SimulationRun.run(schedule, SeededDefect.NONE, traffic);
        return new Result(seed, traffic.most(), traffic.total(), traffic.askedS());
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3, 6, 12})
    void noWindowHasMoreThanTheRuleAllows(double demand) {
        List<Result> over =
                LongStream.rangeClosed(1, SCHEDULES)
                        .parallel()
                        .mapToObj(seed -> play(seed, demand, KINDS))
                        .filter(result -> result.most() > QuotaTraffic.allowed())
                        .toList();
        assertWithMessage("allowed are " + QuotaTraffic.allowed()).that(over).isEmpty();
    }

    /**
     * Without disruptions a tenant within its quota gets all of it, and one beyond it the quota.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9, 1.5, 6})
    void theQuotaIsGivenOut(double demand) {
        for (long seed = 1; seed <= 4; seed++) {
            Result result = play(seed, demand);
            double due = Math.min(demand, 1) * QuotaTraffic.RATE_PER_S * result.askedS();
            assertWithMessage("granted for seed " + seed)
                    .that((double) result.total())
                    .isAtLeast(0.95 * due);
        }
    }
}
