package poppynotch.explore;

import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/**
 * A tenant at many times its rate, at edges with uneven shares of it, while core processes and edges
 * come and go: no window of time has more granted than the quota's rule allows.
 */
class QuotaSchedulesTest {

    private static final int SCHEDULES = 200;
    private static final double DEMAND = 6;

    private static final Disruption.Kind[] KINDS = {
        Disruption.Kind.KILL_ALL,
        Disruption.Kind.SPLIT,
        Disruption.Kind.CUT_ALL,
        Disruption.Kind.KILL,
        Disruption.Kind.FREEZE,
        Disruption.Kind.EDGE_KILL,
        Disruption.Kind.EDGE_CUT
    };

    private record Result(long seed, long most, long total) {}

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    private static Result play(long seed, double demand, Disruption.Kind... kinds) {
        QuotaTraffic traffic = QuotaTraffic.times(demand);
        Schedule schedule = Schedule.draw(seed, Size.of(seed), kinds);
        Play.run(schedule, Fault.NONE, traffic);
        return new Result(seed, traffic.most(), traffic.total());
    }

    @Test
    void noWindowHasMoreThanTheRuleAllows() {
        List<Result> over =
                LongStream.rangeClosed(1, SCHEDULES)
                        .parallel()
                        .mapToObj(seed -> play(seed, DEMAND, KINDS))
                        .filter(result -> result.most() > QuotaTraffic.allowed())
                        .toList();
        assertWithMessage("allowed are " + QuotaTraffic.allowed()).that(over).isEmpty();
    }
}
