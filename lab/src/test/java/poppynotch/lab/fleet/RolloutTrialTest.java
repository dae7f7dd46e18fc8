package poppynotch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.rollout.RolloutStage;
import poppynotch.lab.fleet.RolloutTrial.Behaviour;
import poppynotch.lab.fleet.RolloutTrial.Outcome;
import poppynotch.lab.fleet.RolloutTrial.RolloutMethod;
import poppynotch.lab.fleet.RolloutTrial.Setting;

/** Releases in a fleet of thirty: who is hurt by a bad version, and what becomes of a good one. */
class RolloutTrialTest {

    private static final Behaviour WELL = new Behaviour(0.01, 0.03, 0, 0);
    private static final Behaviour BAD = new Behaviour(0.5, 0.03, 0, 0);
    private static final RolloutPlan PLAN =
            new RolloutPlan(
                    "r",
                    "new",
                    List.of(),
                    List.of(0.02, 0.1, 0.5),
                    10_000,
                    30,
                    0.005,
                    0.02,
                    0.01,
                    true);

    private static List<Outcome> play(Behaviour fresh, double conductorEnds, boolean gateOpen) {
        return LongStream.rangeClosed(1, 6)
                .parallel()
                .mapToObj(
                        seed ->
                                RolloutTrial.play(
                                        new Setting(
                                                30,
                                                10,
                                                WELL,
                                                fresh,
                                                RolloutMethod.STAGED,
                                                PLAN,
                                                60_000,
                                                conductorEnds,
                                                gateOpen,
                                                seed,
                                                List.of())))
                .toList();
    }

    @Test
    void badVersionAffectsFewRequestsAndIsRolledBack() {
        for (Outcome outcome : play(BAD, 0, false)) {
            assertEquals(RolloutStage.Phase.BACK, outcome.last().phase(), outcome.toString());
            assertTrue(outcome.hurt() * 500 < outcome.calls(), outcome.toString());
        }
        // Without a conductor for 7 s the stage stays, and with it those that it hurts.
        for (Outcome outcome : play(BAD, 3000, false)) {
            assertEquals(RolloutStage.Phase.BACK, outcome.last().phase(), outcome.toString());
            assertEquals(2, outcome.last().token());
            assertTrue(outcome.hurt() * 200 < outcome.calls(), outcome.toString());
            assertEquals(0, outcome.twoConductors(), outcome.toString());
        }
    }

    @Test
    void goodVersionCompletesWithPlannedTrafficFraction() {
        for (Outcome outcome : play(WELL, 0, false)) {
            assertEquals(RolloutStage.Phase.DONE, outcome.last().phase(), outcome.toString());
            assertTrue(outcome.worstPart() < 0.05, outcome.toString());
        }
    }

    @Test
    void detectsGateThatAlwaysPasses() {
        assertTrue(
                play(BAD, 0, true).stream()
                        .allMatch(
                                outcome ->
                                        outcome.judgedMs() < 0
                                                && outcome.hurt() * 500 > outcome.calls()));
    }
}
