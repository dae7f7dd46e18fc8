package poppynotch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Shared sightings over a whole fleet: ages are never told too young, and sharing helps where it
 * should.
 */
class ObservationSharingTrialTest {

    private static ObservationSharingTrial.Setting setting(
            int failing, int liars, boolean shared, List<Fault> faults) {
        return new ObservationSharingTrial.Setting(
                40, 40, 10, failing, liars, shared, 0.02, 5, faults);
    }

    private static final List<Fault> HARD =
            List.of(
                    new Fault(20_000, Fault.Kind.DELAY, List.of(), 30_000, 150),
                    new Fault(29_000, Fault.Kind.PAUSE, List.of(3, 4, 5), 9000, 0),
                    new Fault(33_000, Fault.Kind.PARTITION, List.of(7, 8, 9, 10), 8000, 0));

    @Test
    void observationAgesAreNeverUnderstatedOrUsedPastTheirBound() {
        ObservationSharingTrial.Outcome outcome =
                ObservationSharingTrial.play(setting(2, 0, true, HARD));
        assertTrue(outcome.ages().getTotalCount() > 10_000);
        assertEquals(0, outcome.younger());
        assertEquals(0, outcome.past());
    }

    /** The same with the way left out of the age: the check above must see it. */
    @Test
    void detectsAgesThatOmitTransitTime() {
        assertTrue(
                ObservationSharingTrial.playWithoutTransitTime(setting(2, 0, true, HARD)).younger()
                        > 0);
    }

    @Test
    void sharedObservationsEjectFailingServerSoonerThanLocalOnes() {
        ObservationSharingTrial.Outcome alone =
                ObservationSharingTrial.play(setting(1, 0, false, List.of()));
        ObservationSharingTrial.Outcome shared =
                ObservationSharingTrial.play(setting(1, 0, true, List.of()));
        assertTrue(
                shared.wasted() < alone.wasted() * 0.8, shared.wasted() + " of " + alone.wasted());
    }

    @Test
    void toleratesDishonestMemberAndLossOfAllGossip() {
        assertEquals(0, ObservationSharingTrial.play(setting(0, 1, true, List.of())).heldInNeed());
        List<Fault> lost =
                List.of(
                        new Fault(
                                25_000,
                                Fault.Kind.LOSS,
                                IntStream.range(0, 40).boxed().toList(),
                                60_000,
                                1));
        assertEquals(
                ObservationSharingTrial.play(setting(1, 0, false, lost)).wasted(),
                ObservationSharingTrial.play(setting(1, 0, true, lost)).wasted());
    }
}
