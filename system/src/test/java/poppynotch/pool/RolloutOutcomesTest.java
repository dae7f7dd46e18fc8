package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutState;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.ServerGroups;
import poppynotch.rollout.ServiceVersions;
import poppynotch.wire.OutcomeCount;
import poppynotch.wire.RolloutReport;

/**
 * Guards against outcomes of a rollout that are counted for the wrong version or missed, and
 * against edges that suspect a good version or do not suspect a faulty one.
 */
class RolloutOutcomesTest {

    private static final long EDGE = 5;
    private static final Rollout ROLLOUT = Rollout.ordered(7, "v2", 12_000);
    private static final long USUAL_MS = 100;

    private int inFlight;
    private final RolloutOutcomes outcomes =
            new RolloutOutcomes(EDGE, (backend, version) -> inFlight);

    private void apply(Rollout rollout, long revision) {
        outcomes.apply(
                RolloutTable.EMPTY.with(new ServiceVersions("pool", "v1", Optional.of(rollout))),
                revision);
    }

    private void end(String id, String version, SlotOutcome outcome, long responseMs) {
        outcomes.onEnded(
                new EndedAttempt(
                        "pool",
                        "a",
                        id,
                        version,
                        outcome,
                        responseMs,
                        Math.max(responseMs, USUAL_MS),
                        1000));
    }

    private void endMany(int count, String id, String version, SlotOutcome outcome) {
        for (int i = 0; i < count; i++) {
            end(id, version, outcome, USUAL_MS);
        }
    }

    private RolloutReport report() {
        assertThat(outcomes.reports()).hasSize(1);
        return outcomes.reports().get(0);
    }

    @BeforeEach
    void begin() {
        endMany(50, "i-1", "v1", SlotOutcome.SERVED);
        apply(ROLLOUT, 20);
    }

    @Test
    void countsBothVersionsSinceTheOrder() {
        endMany(3, "i-1", "v1", SlotOutcome.SERVED);
        end("i-2", "v2", SlotOutcome.ERROR_RESPONSE, USUAL_MS);
        end("i-2", "v2", SlotOutcome.SERVED, 10 * USUAL_MS);
        end("i-4", "v3", SlotOutcome.SERVED, USUAL_MS);
        assertThat(report().counts())
                .containsExactly(
                        new OutcomeCount("a", OutcomeCount.BASELINE, 3, 0, 0),
                        new OutcomeCount("a", ServerGroups.of("i-2"), 2, 1, 1));
        assertThat(report().appliedRevision()).isEqualTo(20);
    }

    @Test
    void ignoresRejectedAttemptsAndEarlyCancellations() {
        end("i-2", "v2", SlotOutcome.REJECTED, EndedAttempt.NO_RESPONSE);
        end("i-2", "v2", SlotOutcome.CANCELLED, EndedAttempt.NO_RESPONSE);
        assertThat(report().counts()).isEmpty();
    }

    @Test
    void attemptCancelledAfterLongWaitIsSlow() {
        outcomes.onEnded(
                new EndedAttempt(
                        "pool",
                        "a",
                        "i-2",
                        "v2",
                        SlotOutcome.CANCELLED,
                        EndedAttempt.NO_RESPONSE,
                        5000,
                        1000));
        assertThat(report().counts())
                .containsExactly(new OutcomeCount("a", ServerGroups.of("i-2"), 1, 0, 1));
    }

    /** Guards against good versions that are counted as slow because their caches are empty. */
    @Test
    void longerPromptsMayTakeLonger() {
        outcomes.onEnded(
                new EndedAttempt("pool", "a", "i-2", "v2", SlotOutcome.SERVED, 600, 700, 17_000));
        assertThat(report().counts())
                .containsExactly(new OutcomeCount("a", ServerGroups.of("i-2"), 1, 0, 0));
    }

    @Test
    void sequenceGrowsWithEachChangeOnly() {
        long first = report().sequence();
        assertThat(report().sequence()).isEqualTo(first);
        inFlight = 4;
        assertThat(report().sequence()).isEqualTo(first + 1);
        assertThat(report().servingInFlight()).isEqualTo(4);
        apply(ROLLOUT, 21);
        assertThat(report().sequence()).isEqualTo(first + 2);
    }

    @Test
    void reportsEndWithTheRollout() {
        apply(ROLLOUT.ended(9, RolloutState.DONE), 22);
        assertThat(outcomes.reports()).isEqualTo(List.of());
    }

    @Test
    void suspectsAVersionWhoseServersFail() {
        endMany(20, "i-1", "v1", SlotOutcome.SERVED);
        assertThat(outcomes.isSuspect("pool")).isFalse();
        endMany(3, "i-2", "v2", SlotOutcome.ERROR_RESPONSE);
        endMany(3, "i-2", "v2", SlotOutcome.SERVED);
        assertThat(outcomes.isSuspect("pool")).isFalse();
        endMany(1, "i-2", "v2", SlotOutcome.INVALID_RESPONSE);
        assertThat(outcomes.isSuspect("pool")).isTrue();
    }

    @Test
    void doesNotSuspectAVersionWhileTheOldOneFailsToo() {
        endMany(20, "i-1", "v1", SlotOutcome.ERROR_RESPONSE);
        endMany(20, "i-2", "v2", SlotOutcome.ERROR_RESPONSE);
        assertThat(outcomes.isSuspect("pool")).isFalse();
    }

    @Test
    void doesNotSuspectAVersionForOneServerOfSeveral() {
        List<String> ids = List.of("i-10", "i-11", "i-12", "i-13", "i-14", "i-15", "i-16", "i-17");
        endMany(40, "i-1", "v1", SlotOutcome.SERVED);
        ids.forEach(id -> end(id, "v2", SlotOutcome.SERVED, USUAL_MS));
        endMany(30, ids.get(0), "v2", SlotOutcome.ERROR_RESPONSE);
        assertThat(outcomes.isSuspect("pool")).isFalse();
    }
}
