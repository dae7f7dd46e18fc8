package poppynotch.fleet.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against processes that follow stale or unconfirmed stages of a rollout. */
class RolloutParticipantTest {

    private static RolloutStage stage(
            RolloutStage.Phase phase, double canaryFraction, long token, long sequence) {
        return new RolloutStage(
                "r", "new", List.of(), phase, 0, canaryFraction, token, sequence, "");
    }

    /**
     * A controller that was replaced has no further effect, and a stage that is not confirmed stays
     * in force for a limited time.
     */
    @Test
    void rejectsStaleStagesAndDropsUnconfirmedOnes() {
        RolloutParticipant participant = new RolloutParticipant();
        assertTrue(participant.onStage(0, stage(RolloutStage.Phase.RUNNING, 0.05, 7, 3), 0));
        assertFalse(
                participant.onStage(1, stage(RolloutStage.Phase.RUNNING, 0.9, 6, 99), 0),
                "a lower token");
        assertFalse(
                participant.onStage(1, stage(RolloutStage.Phase.RUNNING, 0.9, 7, 3), 0),
                "the same sequence number again");
        assertEquals(0.05, participant.canaryFraction(RolloutParticipant.STAGE_VALIDITY_MS));
        assertEquals(
                0,
                participant.canaryFraction(RolloutParticipant.STAGE_VALIDITY_MS + 1),
                "no calls to the canary without a confirmation");
        assertTrue(
                participant.onStage(
                        RolloutParticipant.STAGE_VALIDITY_MS + 2,
                        stage(RolloutStage.Phase.RUNNING, 0.25, 8, 1),
                        1000));
        assertEquals(
                0.25, participant.canaryFraction(RolloutParticipant.STAGE_VALIDITY_MS * 2 - 998));
        assertEquals(
                0,
                participant.canaryFraction(RolloutParticipant.STAGE_VALIDITY_MS * 2 - 997),
                "the age at receipt counts");
        assertEquals(null, participant.currentStage(RolloutParticipant.STAGE_EXPIRY_MS * 2));
        assertEquals(1, participant.staleStageCount());
    }
}
