package poppynotch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import poppynotch.lab.fleet.QuotaTrial.Outcome;
import poppynotch.lab.fleet.QuotaTrial.Setting;

/**
 * Shares of an allowance between processes that lend to each other: what moves, and what never
 * does.
 */
class QuotaTrialTest {

    private static Outcome play(
            double demand, double hot, boolean shared, int liars, List<Fault> faults) {
        return QuotaTrial.play(
                new Setting(12, 120, 120 * demand, hot, false, shared, liars, 3, faults));
    }

    @Test
    void busyProcessGetsMostOfQuotaWithinTwoSeconds() {
        Outcome alone = play(0.9, 1, false, 0, List.of());
        Outcome shared = play(0.9, 1, true, 0, List.of());
        assertTrue(alone.granted() < 0.2 * alone.ideal(), alone.toString());
        assertTrue(shared.granted() > 0.9 * shared.ideal(), shared.toString());
        assertTrue(
                shared.nearlyWholeMs() >= 0 && shared.nearlyWholeMs() <= 2000, shared.toString());
    }

    @Test
    void sharesNeverExceedQuotaUnderFaultsOrDishonestMembers() {
        List<Integer> half = IntStream.range(0, 6).boxed().toList();
        for (List<Fault> faults :
                List.of(
                        List.<Fault>of(),
                        List.of(new Fault(30_000, Fault.Kind.PARTITION, half, 12_000, 0)),
                        List.of(new Fault(20_000, Fault.Kind.LOSS, half, 40_000, 0.3)),
                        List.of(new Fault(20_000, Fault.Kind.DELAY, half, 40_000, 400)),
                        List.of(new Fault(20_000, Fault.Kind.DUPLICATION, half, 40_000, 0.5)),
                        List.of(new Fault(35_000, Fault.Kind.PAUSE, List.of(2, 3, 4), 5000, 0)))) {
            for (int liars = 0; liars < 2; liars++) {
                Outcome shared = play(1.5, 0.6, true, liars, faults);
                assertTrue(shared.overshoot() < 0.22, shared + " with " + faults);
            }
        }
    }

    @Test
    void everyProcessGetsEvenShareWithoutNetwork() {
        List<Fault> lost = List.of(new Fault(0, Fault.Kind.LOSS, List.of(), 100_000, 1));
        assertEquals(
                play(1.5, 0.6, false, 0, lost).granted(), play(1.5, 0.6, true, 0, lost).granted());
    }
}
