package poppynotch.rollout;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides the next step of a running rollout, within its time limit, the term. A new version first
 * gets a bounded number of attempts. This trial uses a few servers, so that these bear as much load
 * as the old ones, and takes a large part of the term, as some versions fail only after a while.
 * Once the version is proven, its share of the attempts is raised in steps. The rollout is done
 * once nothing is in flight at the old servers. It is rolled back if the version does harm, or if
 * it does not serve all attempts shortly before the end of the term.
 *
 * <p>Stateless; does no I/O.
 */
public final class RolloutPlanner {

    /** The minimum duration of the trial, even of a good version, as a fraction of the term. */
    private static final double MIN_TRIAL_FRACTION = 0.5;

    /** The latest time at which the trial may end with a first share, as a fraction of the term. */
    private static final double LAST_RAISE_FRACTION = 0.75;

    /** The time by which a rollout is either done or rolled back, as a fraction of the term. */
    private static final double LAST_END_FRACTION = 0.9;

    /** The minimum time between two raises of the share, as a fraction of the term. */
    private static final double SHARE_STEP_FRACTION = 0.06;

    private static final long MIN_SHARE_STEP_MS = 600;

    /** The minimum number of ended attempts at a share before it is raised. */
    private static final long MIN_ENDED_AT_SHARE = 20;

    /** The maximum wait for the old servers to drain, as a fraction of the term. */
    private static final double DRAIN_FRACTION = 0.25;

    /** The minimum time between two raises of the attempt budget. */
    private static final long BUDGET_INTERVAL_MS = 1000;

    /** The fraction of the new servers that the trial uses; below the share of attempts allowed. */
    private static final double TRIAL_SERVERS_FRACTION = 0.08;

    private static final int MIN_TRIAL_SERVERS = 3;

    /** The minimum number of new servers for a first share, as a fraction of the old servers. */
    private static final double MIN_SERVERS_FRACTION = 0.5;

    /** The steps in which the share is raised, in thousandths. */
    private static final int[] SHARES_PERMILLE = {200, 500, Exposure.Share.ALL_PERMILLE};

    private final ExposureLimits limits;

    /** Creates a planner that keeps attempt budgets within the limits. */
    public RolloutPlanner(ExposureLimits limits) {
        this.limits = limits;
    }

    /**
     * The observed state of a running rollout.
     *
     * @param elapsedMs the part of the term that has passed
     * @param stepAgeMs the time for which the current step has been in force
     * @param targetEndedAtStep attempts at the new version that have ended during the current step
     * @param readyTargetServers ids of the new version's ready servers, in a fixed order
     * @param readyServingServers the number of the old version's ready servers
     * @param edgeIncarnations the edges that are in contact
     * @param drained whether no edge has an attempt in flight at the old servers
     */
    public record Situation(
            Rollout rollout,
            long elapsedMs,
            long stepAgeMs,
            long targetEndedAtStep,
            VersionJudge.Assessment assessment,
            VersionOutcomes outcomes,
            List<String> readyTargetServers,
            int readyServingServers,
            List<Long> edgeIncarnations,
            boolean drained) {

        private boolean isPast(double fractionOfTerm) {
            return elapsedMs >= fractionOfTerm * rollout.termMs();
        }
    }

    /** The next state of a rollout, and the cause of the change for log lines. */
    public record Step(Rollout next, String cause) {}

    /** Returns the next step; empty if nothing is to be changed now. */
    public Optional<Step> next(Situation situation) {
        if (situation.assessment() instanceof VersionJudge.Assessment.Harmful harm) {
            return end(situation, RolloutState.ROLLED_BACK, harm.reason());
        }
        if (situation.rollout().exposure() instanceof Exposure.Share share) {
            return nextAtShare(situation, share);
        }
        if (situation.isPast(LAST_END_FRACTION)) {
            return end(situation, RolloutState.ROLLED_BACK, "version not proven within the term");
        }
        if (mayRaise(situation)) {
            return expose(situation, new Exposure.Share(SHARES_PERMILLE[0]), "proven");
        }
        return nextBudget(situation);
    }

    private static boolean mayRaise(Situation situation) {
        return situation.assessment() instanceof VersionJudge.Assessment.Proven
                && situation.isPast(MIN_TRIAL_FRACTION)
                && !situation.isPast(LAST_RAISE_FRACTION)
                && situation.readyTargetServers().size()
                        >= MIN_SERVERS_FRACTION * situation.readyServingServers();
    }

    // ---- trial ----

    private Optional<Step> nextBudget(Situation situation) {
        if (!(situation.rollout().exposure() instanceof Exposure.AttemptBudget budget)) {
            return firstBudget(situation);
        }
        if (situation.stepAgeMs() < BUDGET_INTERVAL_MS) {
            return Optional.empty();
        }
        long attempts = Math.max(budget.attempts(), limits.attempts(situation.outcomes().ended()));
        List<String> servers =
                trialServers(situation.readyTargetServers(), new HashSet<>(budget.serverIds()));
        Exposure.AttemptBudget raised =
                new Exposure.AttemptBudget(attempts, budget.edgeIncarnations(), servers);
        return raised.equals(budget)
                ? Optional.empty()
                : expose(situation, raised, "attempt limit raised by the service's requests");
    }

    /** The edges that share the budget stay the same: a restarted one would count from 0 again. */
    private Optional<Step> firstBudget(Situation situation) {
        if (situation.readyTargetServers().isEmpty() || situation.edgeIncarnations().isEmpty()) {
            return Optional.empty();
        }
        return expose(
                situation,
                new Exposure.AttemptBudget(
                        limits.attempts(0),
                        situation.edgeIncarnations(),
                        trialServers(situation.readyTargetServers(), Set.of())),
                "servers of the new version are ready");
    }

    /** Selects a few servers, of different groups if possible; ready ones chosen before stay. */
    private static List<String> trialServers(List<String> ready, Set<String> chosenBefore) {
        int count = Math.max(MIN_TRIAL_SERVERS, (int) (TRIAL_SERVERS_FRACTION * ready.size()));
        Set<String> preferred = new LinkedHashSet<>(ready);
        preferred.retainAll(chosenBefore);
        Set<Integer> groups = new HashSet<>();
        preferred.forEach(server -> groups.add(ServerGroups.of(server)));
        for (String server : ready) {
            if (groups.add(ServerGroups.of(server))) {
                preferred.add(server);
            }
        }
        preferred.addAll(ready);
        return preferred.stream().limit(count).toList();
    }

    // ---- raise of the share ----

    private static Optional<Step> nextAtShare(Situation situation, Exposure.Share share) {
        boolean proven = situation.assessment() instanceof VersionJudge.Assessment.Proven;
        if (share.isAll() && proven) {
            return nextAtFullShare(situation);
        }
        if (situation.isPast(LAST_END_FRACTION)) {
            return end(situation, RolloutState.ROLLED_BACK, "share not proven within the term");
        }
        boolean triedEnough =
                situation.stepAgeMs() >= shareStepMs(situation.rollout())
                        && situation.targetEndedAtStep() >= MIN_ENDED_AT_SHARE;
        if (share.isAll() || !proven || !triedEnough) {
            return Optional.empty();
        }
        return expose(situation, new Exposure.Share(nextPermille(share)), "no harm at prior share");
    }

    private static Optional<Step> nextAtFullShare(Situation situation) {
        if (situation.drained()) {
            return end(situation, RolloutState.DONE, "old servers are drained");
        }
        boolean timedOut =
                situation.stepAgeMs() >= DRAIN_FRACTION * situation.rollout().termMs()
                        || situation.isPast(LAST_END_FRACTION);
        return timedOut ? end(situation, RolloutState.DONE, "drain timed out") : Optional.empty();
    }

    private static long shareStepMs(Rollout rollout) {
        return Math.max(MIN_SHARE_STEP_MS, (long) (SHARE_STEP_FRACTION * rollout.termMs()));
    }

    private static int nextPermille(Exposure.Share share) {
        for (int permille : SHARES_PERMILLE) {
            if (permille > share.permille()) {
                return permille;
            }
        }
        return Exposure.Share.ALL_PERMILLE;
    }

    private static Optional<Step> expose(Situation situation, Exposure next, String cause) {
        return Optional.of(
                new Step(situation.rollout().withExposure(situation.elapsedMs(), next), cause));
    }

    private static Optional<Step> end(Situation situation, RolloutState state, String cause) {
        return Optional.of(
                new Step(situation.rollout().ended(situation.elapsedMs(), state), cause));
    }
}
