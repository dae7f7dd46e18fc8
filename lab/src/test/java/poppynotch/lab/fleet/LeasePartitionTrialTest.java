package poppynotch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.lab.fleet.TrialOutcome.Figure;

/** Duties while two regions are apart. */
class LeasePartitionTrialTest {

    private static final double CUT_S = 120;

    private static TrialOutcome play(
            LeasePartitionTrial.RaftPlacement placing, boolean leaderDies) {
        TrialOutcome outcome =
                LeasePartitionTrial.play(
                        placing, leaderDies, CUT_S * 1000, 1, FailureDomains.Delays.DEFAULT);
        assertEquals(List.of(), outcome.findings());
        return outcome;
    }

    private static List<Figure> ending(TrialOutcome outcome, String end) {
        List<Figure> figures =
                outcome.figures().stream().filter(each -> each.key().endsWith(end)).toList();
        assertTrue(!figures.isEmpty(), end);
        return figures;
    }

    /**
     * Three keepers on one side and two on the other: the holder is on the side of the three alone.
     */
    @Test
    void sideWithRaftMajorityHoldsLease() {
        TrialOutcome outcome =
                play(new LeasePartitionTrial.RaftPlacement("v5.near", 3, 2, 0), false);
        for (Figure near : ending(outcome, ".r1.standstill")) {
            assertTrue(near.high() <= 7, near.toString());
        }
        // A holder of the other side has it until its lease is over, and no longer.
        for (Figure far : ending(outcome, ".r2.standstill")) {
            assertTrue(far.low() >= CUT_S - 5, far.toString());
        }
        for (Figure lease : ending(outcome, ".lease_ended")) {
            assertTrue(lease.high() <= 5, lease.toString());
        }
        for (Figure back : ending(outcome, ".after_mend")) {
            assertEquals(0, back.high(), back.toString());
        }
    }

    /**
     * Of four, two go on while their leader lives, and stand still until the mend when it has died.
     */
    @Test
    void twoOfFourRaftServersContinueOnlyUnderTheirLeader() {
        Figure lives =
                ending(
                                play(LeasePartitionTrial.RaftPlacement.ALL.get(0), false),
                                "v4.even.standstill")
                        .get(0);
        assertTrue(lives.high() <= 7, lives.toString());
        Figure dies =
                ending(
                                play(LeasePartitionTrial.RaftPlacement.ALL.get(0), true),
                                "leader_dies.standstill")
                        .get(0);
        assertTrue(dies.low() >= CUT_S - 60 - 7, dies.toString());
    }
}
