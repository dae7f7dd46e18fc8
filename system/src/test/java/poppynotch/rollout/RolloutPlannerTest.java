package poppynotch.rollout;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import poppynotch.rollout.VersionJudge.Assessment;
import poppynotch.rollout.VersionOutcomes.Counts;
import poppynotch.rollout.VersionOutcomes.Key;
import poppynotch.wire.OutcomeCount;

/**
 * Guards against rollouts that exceed the exposure limits of an unproven version, raise the share
 * of a doubtful one, stop servers in use, or do not end within their term.
 */
class RolloutPlannerTest {

    private static final long TERM_MS = 16_000;
    private static final long TICK_MS = 250;
    private static final double REQUESTS_PER_TICK = 75;
    private static final ExposureLimits LIMITS = new ExposureLimits(0.1, 50);
    private static final List<String> TARGETS = serverIds(40);
    private static final List<Long> EDGES = List.of(3L, 5L, 8L);

    private final RolloutPlanner planner = new RolloutPlanner(LIMITS);

    private static List<String> serverIds(int count) {
        return IntStream.range(0, count).mapToObj(i -> "i-" + i).toList();
    }

    /** One rollout in virtual time, with the same assessment at all times. */
    private final class Run {
        Rollout rollout = Rollout.ordered(7, "v2", TERM_MS);
        Assessment assessment = new Assessment.Proven();
        List<String> targets = TARGETS;
        boolean drained = true;
        long targetEndedAtStep = 100;
        long elapsedMs;
        long stepStartMs;

        RolloutPlanner.Situation situation() {
            long ended = (long) (elapsedMs / TICK_MS * REQUESTS_PER_TICK);
            VersionOutcomes outcomes =
                    new VersionOutcomes(
                            Map.of(new Key("a", OutcomeCount.BASELINE), new Counts(ended, 0, 0)));
            return new RolloutPlanner.Situation(
                    rollout,
                    elapsedMs,
                    elapsedMs - stepStartMs,
                    targetEndedAtStep,
                    assessment,
                    outcomes,
                    targets,
                    40,
                    EDGES,
                    drained);
        }

        void runUntil(long untilMs) {
            while (elapsedMs < untilMs && rollout.isRunning()) {
                elapsedMs += TICK_MS;
                Optional<RolloutPlanner.Step> step = planner.next(situation());
                if (step.isPresent()) {
                    assertThat(step.get().next().step()).isEqualTo(rollout.step() + 1);
                    rollout = step.get().next();
                    stepStartMs = elapsedMs;
                }
                checkExposure();
            }
        }

        private void checkExposure() {
            if (rollout.exposure() instanceof Exposure.AttemptBudget budget) {
                double allowed = 50 + 0.1 * (elapsedMs / TICK_MS * REQUESTS_PER_TICK);
                assertThat((double) budget.attempts()).isAtMost(allowed);
                assertThat(EDGES.stream().mapToLong(budget::attemptsOf).sum())
                        .isEqualTo(budget.attempts());
            }
        }
    }

    @Test
    void goodVersionIsDoneWithinItsTerm() {
        Run run = new Run();
        run.runUntil(TERM_MS);
        assertThat(run.rollout.state()).isEqualTo(RolloutState.DONE);
        assertThat(run.elapsedMs).isAtMost((long) (0.9 * TERM_MS));
    }

    @Test
    void trialLastsForHalfOfTheTerm() {
        Run run = new Run();
        run.runUntil(TERM_MS / 2 - TICK_MS);
        assertThat(run.rollout.exposure()).isInstanceOf(Exposure.AttemptBudget.class);
    }

    @Test
    void harmfulVersionIsRolledBackAtOnce() {
        for (long fromMs : new long[] {1000, 9000, 10_500}) {
            Run run = new Run();
            run.drained = false;
            run.runUntil(fromMs);
            run.assessment = new Assessment.Harmful("errors");
            run.runUntil(fromMs + TICK_MS);
            assertWithMessage("from " + fromMs)
                    .that(run.rollout.state())
                    .isEqualTo(RolloutState.ROLLED_BACK);
        }
    }

    @Test
    void unprovenVersionIsRolledBackWithinItsTerm() {
        Run run = new Run();
        run.assessment = new Assessment.Undecided("too few attempts");
        run.runUntil(TERM_MS);
        assertThat(run.rollout.state()).isEqualTo(RolloutState.ROLLED_BACK);
        assertThat(run.elapsedMs).isLessThan(TERM_MS);
    }

    @Test
    void versionWithoutServersIsRolledBackWithinItsTerm() {
        Run run = new Run();
        run.targets = List.of();
        run.runUntil(TERM_MS);
        assertThat(run.rollout.state()).isEqualTo(RolloutState.ROLLED_BACK);
    }

    @Test
    void shareIsNotRaisedWithTooFewServers() {
        Run run = new Run();
        run.targets = serverIds(10);
        run.runUntil(TERM_MS);
        assertThat(run.rollout.state()).isEqualTo(RolloutState.ROLLED_BACK);
    }

    /** Guards against old servers that are stopped while they have requests in flight. */
    @Test
    void waitsForOldServersToDrainBeforeItIsDone() {
        Run run = new Run();
        run.drained = false;
        while (!(run.rollout.exposure() instanceof Exposure.Share share && share.isAll())) {
            run.runUntil(run.elapsedMs + TICK_MS);
        }
        run.runUntil(run.elapsedMs + 2000);
        assertThat(run.rollout.isRunning()).isTrue();
        run.drained = true;
        run.runUntil(run.elapsedMs + TICK_MS);
        assertThat(run.rollout.state()).isEqualTo(RolloutState.DONE);
    }

    /** Guards against a rollout that raises the share, or ends as done, without a proof. */
    @Test
    void rolloutOfUndecidedVersionIsNeitherRaisedNorDone() {
        for (long fromMs : new long[] {8500, 9500, 10_500}) {
            Run run = new Run();
            run.drained = false;
            run.runUntil(fromMs);
            run.drained = true;
            run.assessment = new Assessment.Undecided("attempts fail more often");
            Exposure before = run.rollout.exposure();
            run.runUntil(12_000);
            assertThat(run.rollout.exposure()).isEqualTo(before);
            run.runUntil(TERM_MS);
            assertThat(run.rollout.state()).isEqualTo(RolloutState.ROLLED_BACK);
        }
    }

    /** Guards against a share that is raised before the outcomes at the current share are known. */
    @Test
    void shareIsNotRaisedBeforeEnoughAttempts() {
        Run run = new Run();
        run.targetEndedAtStep = 5;
        run.runUntil(13_000);
        assertThat(run.rollout.exposure()).isEqualTo(new Exposure.Share(200));
    }

    @Test
    void trialUsesAFewServersOfDifferentGroups() {
        Run run = new Run();
        run.runUntil(TICK_MS);
        Exposure.AttemptBudget budget = (Exposure.AttemptBudget) run.rollout.exposure();
        assertThat(budget.serverIds().size()).isAtMost(TARGETS.size() / 10);
        assertThat(budget.serverIds().stream().map(ServerGroups::of).distinct().count())
                .isEqualTo(budget.serverIds().size());
    }

    @Test
    void trialReplacesRemovedServersAndKeepsTheOthers() {
        Run run = new Run();
        run.assessment = new Assessment.Undecided("too few attempts");
        run.runUntil(2000);
        List<String> before = ((Exposure.AttemptBudget) run.rollout.exposure()).serverIds();
        run.targets = TARGETS.stream().filter(id -> !id.equals(before.get(0))).toList();
        run.runUntil(4000);
        List<String> after = ((Exposure.AttemptBudget) run.rollout.exposure()).serverIds();
        assertThat(after).doesNotContain(before.get(0));
        assertThat(after).containsAtLeastElementsIn(before.subList(1, before.size()));
        assertThat(after).hasSize(before.size());
    }

    /** Guards against restarted edges, which would count their attempts from 0 again. */
    @Test
    void edgesThatShareTheBudgetStayTheSame() {
        Exposure.AttemptBudget budget =
                new Exposure.AttemptBudget(40, List.of(1L, 2L, 3L), List.of("i-0"));
        assertThat(budget.attemptsOf(1)).isEqualTo(14);
        assertThat(budget.attemptsOf(3)).isEqualTo(13);
        assertThat(budget.attemptsOf(4)).isEqualTo(0);
        Run run = new Run();
        run.runUntil(TICK_MS);
        List<Long> first = ((Exposure.AttemptBudget) run.rollout.exposure()).edgeIncarnations();
        run.runUntil(5000);
        assertThat(((Exposure.AttemptBudget) run.rollout.exposure()).edgeIncarnations())
                .isEqualTo(first);
    }
}
