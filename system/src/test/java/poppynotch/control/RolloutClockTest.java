package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import poppynotch.rollout.Exposure;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutState;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.ServiceVersions;

/** The times of a rollout at replicas that learn of it at its start, or only later. */
class RolloutClockTest {

    private final RolloutClock clock = new RolloutClock();
    private final Rollout ordered = Rollout.ordered(7, "v2", 12_000);

    private void learn(long nowMs, Rollout rollout) {
        clock.onTable(
                nowMs,
                RolloutTable.EMPTY.with(new ServiceVersions("pool", "v1", Optional.of(rollout))));
    }

    @Test
    void countsFromTheOrderAndFromTheLatestStep() {
        learn(1000, ordered);
        Rollout next = ordered.withExposure(500, new Exposure.Share(200));
        learn(1600, next);
        assertThat(clock.elapsedMs(4000, "pool", next)).isEqualTo(3000);
        assertThat(clock.stepElapsedMs(4000, "pool", next)).isEqualTo(2400);
    }

    /**
     * Guards against a rollout's term that starts again when the controller's role is handed over.
     */
    @Test
    void replicaThatLearnsLateContinuesFromTheLatestStep() {
        learn(90_000, ordered.withExposure(8000, new Exposure.Share(200)));
        assertThat(clock.elapsedMs(91_000, "pool", ordered)).isEqualTo(9000);
    }

    @Test
    void identicalOrderIsARetryForSomeTimeAfterTheEnd() {
        learn(1000, ordered);
        Rollout ended = ordered.ended(3000, RolloutState.ROLLED_BACK);
        assertThat(clock.isPastRepeatWindow(100_000, "pool", ordered)).isFalse();
        learn(4000, ended);
        assertThat(clock.isPastRepeatWindow(9000, "pool", ended)).isFalse();
        assertThat(clock.isPastRepeatWindow(100_000, "pool", ended)).isTrue();
    }
}
