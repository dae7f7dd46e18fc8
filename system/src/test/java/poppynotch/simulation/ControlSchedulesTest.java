package poppynotch.simulation;

import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.slf4j.LoggerFactory;

/**
 * Guards against violations of the control plane's guarantees under random fault schedules on a
 * simulated fleet, and against a checker that misses seeded defects. {@code poppynotch explore}
 * runs more schedules, from any seed.
 */
class ControlSchedulesTest {

    private static final int SCHEDULE_COUNT = 2000;

    private static final int LOSSES_IN_TURN_COUNT = 200;

    private static final int DEPARTURE_SCHEDULE_COUNT = 300;

    private static final int ROLLOUT_SCHEDULE_COUNT = 300;

    /** A seeded defect must be found within this number of schedules. */
    private static final int MAX_SCHEDULES_PER_DEFECT = 1000;

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    @Test
    void findsNoViolationInDrawnSchedules() {
        assertNoFinding(SCHEDULE_COUNT, FaultSchedule::draw);
    }

    /** Guards against a lost vote that is never regained while the configuration changes. */
    @Test
    void votesAreRegainedInTimeUnderContinuousChanges() {
        assertNoFinding(LOSSES_IN_TURN_COUNT, FaultSchedule::drawLossesInTurn);
    }

    /** Guards against an acknowledged drain or removal that a restart of all replicas forgets. */
    @Test
    void departuresSurviveLossesAtTheirAcknowledgement() {
        assertNoFinding(DEPARTURE_SCHEDULE_COUNT, FaultSchedule::drawDepartures);
    }

    /** Guards against rollouts that are lost or begun twice, and bad versions overexposed. */
    @Test
    void findsNoRolloutViolationInDrawnSchedules() {
        assertNoFinding(ROLLOUT_SCHEDULE_COUNT, FaultSchedule::drawWithRollouts);
    }

    private static void assertNoFinding(int count, LongFunction<FaultSchedule> draw) {
        List<String> findings =
                LongStream.rangeClosed(1, count)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        SimulationRun.run(draw.apply(seed), SeededDefect.NONE)
                                                .map(finding -> seed + ": " + finding))
                        .flatMap(Optional::stream)
                        .toList();
        assertWithMessage("findings by seed").that(findings).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void findsEverySeededDefect(SeededDefect defect) {
        LongFunction<FaultSchedule> draw = scheduleDrawFor(defect);
        Optional<String> found =
                LongStream.rangeClosed(1, MAX_SCHEDULES_PER_DEFECT)
                        .parallel()
                        .mapToObj(seed -> SimulationRun.run(draw.apply(seed), defect))
                        .flatMap(Optional::stream)
                        .findAny();
        assertWithMessage(defect + " within " + MAX_SCHEDULES_PER_DEFECT + " schedules")
                .that(found)
                .isNotEqualTo(Optional.empty());
    }

    private static LongFunction<FaultSchedule> scheduleDrawFor(SeededDefect defect) {
        if (defect.concernsRollouts()) {
            return FaultSchedule::drawWithRollouts;
        }
        if (defect == SeededDefect.DEPARTURE_ACKNOWLEDGED_BEFORE_SYNC) {
            return FaultSchedule::drawDepartures;
        }
        return defect == SeededDefect.RECOVERY_STARVES
                ? FaultSchedule::drawLossesInTurn
                : FaultSchedule::draw;
    }
}
