package poppynotch.simulation;

import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.slf4j.LoggerFactory;

/**
 * Drawn schedules of disruptions on the whole control side, and seeded faults that must be found by
 * them. {@code poppynotch explore} plays more, from any seed.
 */
class ControlSchedulesTest {

    private static final int SCHEDULES = 2000;

    /** A seeded fault must be found within so many schedules. */
    private static final int MOST_FOR_FAULT = 1000;

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    @Test
    void drawnSchedulesKeepThePromises() {
        List<String> findings =
                LongStream.rangeClosed(1, SCHEDULES)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        SimulationRun.run(
                                                        FaultSchedule.draw(seed), SeededDefect.NONE)
                                                .map(what -> seed + ": " + what))
                        .flatMap(Optional::stream)
                        .toList();
        assertWithMessage("findings by seed").that(findings).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void aSeededFaultIsFound(SeededDefect fault) {
        Optional<String> found =
                LongStream.rangeClosed(1, MOST_FOR_FAULT)
                        .parallel()
                        .mapToObj(seed -> SimulationRun.run(FaultSchedule.draw(seed), fault))
                        .flatMap(Optional::stream)
                        .findAny();
        assertWithMessage(fault + " within " + MOST_FOR_FAULT + " schedules")
                .that(found)
                .isNotEqualTo(Optional.empty());
    }
}
