package poppynotch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import poppynotch.lab.fleet.TrialOutcome.Figure;

/**
 * A small fleet in two regions: apart for longer than the dead are remembered, and struck place by
 * place.
 */
class RegionTrialTest {

    private static final int SIZE = 24;
    private static final double CUT_MS = 900_000;

    private static RegionTrial.Setting setting(long seed, boolean seedsInBoth) {
        return new RegionTrial.Setting(
                SIZE, seed, seedsInBoth, false, CUT_MS, FailureDomains.Delays.DEFAULT);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void regionsThatForgotEachOtherConvergeAgain(boolean seedsInBoth) {
        TrialOutcome outcome = RegionTrial.partition(setting(1, seedsInBoth), "cut", false);
        assertEquals(List.of(), outcome.findings());
        assertTrue(outcome.value("cut.one_view", SIZE) <= 30, "one view within the promised 30 s");
        // The dead are forgotten after ten minutes on both sides, and then both call themselves the
        // majority.
        for (String region : List.of("r1", "r2")) {
            double forgotten = outcome.value("cut." + region + ".forgotten", SIZE);
            assertTrue(
                    forgotten >= 600 && forgotten <= 640,
                    region + " forgot after " + forgotten + " s");
        }
        assertTrue(outcome.value("cut.r2.majority_no", SIZE) <= 30);
        assertTrue(outcome.value("cut.r2.majority_yes_last", SIZE) >= 600);
        assertTrue(outcome.value("cut.r1.majority_yes_last", SIZE) <= 30);
    }

    @Test
    void processesStartedDuringPartitionJoinTheirSide() {
        TrialOutcome outcome = RegionTrial.partition(setting(2, true), "cut", true);
        assertEquals(List.of(), outcome.findings());
        assertTrue(outcome.figures().stream().anyMatch(figure -> figure.key().endsWith(".joined")));
    }

    private static List<Figure> days(long seed) {
        return RegionTrial.days(setting(seed, true)).figures().stream()
                .filter(figure -> !figure.unit().equals("core"))
                .toList();
    }

    @Test
    void sameSeedGivesSameFigures() {
        assertEquals(days(3), days(3));
        assertNotEquals(days(3), days(4));
    }

    @Test
    void lossOfFailureDomainIsDetected() {
        TrialOutcome outcome = RegionTrial.days(setting(1, true));
        assertEquals(List.of(), outcome.findings());
        for (String phase : List.of("rack", "zone", "region_small", "region")) {
            assertTrue(outcome.value(phase + ".known", SIZE) > 0, phase);
            assertTrue(outcome.value(phase + ".back_one_view", SIZE) > 0, phase);
        }
        assertTrue(
                outcome.value("idle.membership.bytes_out_far", SIZE)
                        < outcome.value("idle.membership.bytes_out", SIZE));
    }

    /** A fleet that does not find together is told, and is not passed over. */
    @Test
    void missingRecoveryIsReportedAsFinding() {
        // An answer over ways of ten seconds comes too late for any probe.
        TrialOutcome outcome =
                RegionTrial.partition(
                        new RegionTrial.Setting(
                                SIZE,
                                1,
                                true,
                                false,
                                5000,
                                new FailureDomains.Delays(0.1, 0.5, 10_000)),
                        "cut",
                        false);
        assertFalse(outcome.findings().isEmpty());
    }

    @Test
    void stageLapsesOnSideWithoutRolloutController() {
        TrialOutcome outcome =
                RolloutPartitionTrial.play(SIZE, CUT_MS, 1, FailureDomains.Delays.DEFAULT);
        assertEquals(List.of(), outcome.findings());
        double lapse = outcome.value("release.cut.lapse", SIZE);
        assertTrue(lapse > 25 && lapse <= 31, lapse + " s");
        double end = outcome.value("release.cut.end", SIZE);
        assertTrue(end > 590 && end <= 602, end + " s");
        assertEquals(0, outcome.value("release.cut.near_lapsed", SIZE));
        // It asks each of the others once a second.
        assertEquals(SIZE - 1, outcome.value("release.conductor.messages_out", SIZE), 3);
    }
}
