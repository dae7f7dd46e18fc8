package poppynotch.rollout;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides the next step of a running roll-out. A new version first gets a bounded number of
 * attempts, at a few servers so that these bear as much load as the old ones, for a good part of
 * the term, as some versions fail only after a while. Once proven, its share is raised in steps; it
 * is done once nothing is in flight at the old servers. It is rolled back if it does harm, or if
 * the term is nearly over before it serves all.
 *
 * <p>It has no state and does no I/O.
 */
public final class RolloutPlanner {

    /** A version is not proven before this fraction of the term, however well it does. */
    private static final double MIN_TRIAL_FRACTION = 0.5;

    /** The raise of the share is not begun after this fraction of the term. */
    private static final double LAST_RAISE_FRACTION = 0.75;

    /** A roll-out has ended by this fraction of the term, in one way or the other. */
    private static final double LAST_END_FRACTION = 0.9;

    /** How long a share is kept before it is raised, as a fraction of the term. */
    private static final double SHARE_STEP_FRACTION = 0.06;

    private static final long MIN_SHARE_STEP_MS = 600;

    /** A share is raised after so many attempts at it at least. */
    private static final long MIN_TRIED_AT_SHARE = 20;

    /** How long old servers are waited for at the full share, as a fraction of the term. */
    private static final double DRAIN_FRACTION = 0.25;

    /** Rights are raised no more often than this. */
    private static final long RIGHTS_INTERVAL_MS = 1000;

    /** The fraction of the new servers that takes the first attempts; below the share allowed. */
    private static final double TRIAL_SERVERS_FRACTION = 0.08;

    private static final int MIN_TRIAL_SERVERS = 3;

    /** With fewer new servers than this fraction of the old ones, the share is not raised. */
    private static final double MIN_SERVERS_FRACTION = 0.5;

    /** The shares in which an exposure is raised, in thousandths. */
    private static final int[] SHARES_PERMILLE = {200, 500, Exposure.Share.ALL_PERMILLE};

    private final ExposureLimits limits;

    /** Creates a planner that keeps within limits. */
    public RolloutPlanner(ExposureLimits limits) {
        this.limits = limits;
    }

    /**
     * What is known of a running roll-out.
     *
     * @param elapsedMs how much of the term has passed
     * @param atStepMs for how long the present step has been in force
     * @param triedAtStep attempts at the new version that have ended since then
     * @param readyTargetServers ids of the new version's servers that are ready, in a fixed order
     * @param readyServingServers how many of the old version's servers are ready
     * @param edgeIncarnations the edges that are present
     * @param drained whether no edge has an attempt in flight at the old servers
     */
    public record Situation(
            Rollout rollout,
            long elapsedMs,
            long atStepMs,
            long triedAtStep,
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

    /** The next state of a roll-out, and why. */
    public record Step(Rollout next, String cause) {}

    /** The next step; empty while nothing is to be changed. */
    public Optional<Step> next(Situation now) {
        if (now.assessment() instanceof VersionJudge.Assessment.Harmful harm) {
            return end(now, RolloutState.ROLLED_BACK, harm.reason());
        }
        if (now.rollout().exposure() instanceof Exposure.Share share) {
            return nextAtShare(now, share);
        }
        if (now.isPast(LAST_END_FRACTION)) {
            return end(now, RolloutState.ROLLED_BACK, "not proven within the term");
        }
        if (mayRaise(now)) {
            return expose(now, new Exposure.Share(SHARES_PERMILLE[0]), "proven");
        }
        return nextRights(now);
    }

    private static boolean mayRaise(Situation now) {
        return now.assessment() instanceof VersionJudge.Assessment.Proven
                && now.isPast(MIN_TRIAL_FRACTION)
                && !now.isPast(LAST_RAISE_FRACTION)
                && now.readyTargetServers().size()
                        >= MIN_SERVERS_FRACTION * now.readyServingServers();
    }

    // ---- the trial ----

    private Optional<Step> nextRights(Situation now) {
        if (!(now.rollout().exposure() instanceof Exposure.AttemptBudget rights)) {
            return firstRights(now);
        }
        if (now.atStepMs() < RIGHTS_INTERVAL_MS) {
            return Optional.empty();
        }
        long attempts = Math.max(rights.attempts(), limits.attempts(now.outcomes().ended()));
        List<String> servers =
                trialServers(now.readyTargetServers(), new HashSet<>(rights.serverIds()));
        Exposure.AttemptBudget raised =
                new Exposure.AttemptBudget(attempts, rights.edgeIncarnations(), servers);
        return raised.equals(rights)
                ? Optional.empty()
                : expose(now, raised, "requests of the service");
    }

    /** The edges that may try the version stay the same: another one could count anew. */
    private Optional<Step> firstRights(Situation now) {
        if (now.readyTargetServers().isEmpty() || now.edgeIncarnations().isEmpty()) {
            return Optional.empty();
        }
        return expose(
                now,
                new Exposure.AttemptBudget(
                        limits.attempts(0),
                        now.edgeIncarnations(),
                        trialServers(now.readyTargetServers(), Set.of())),
                "servers are ready");
    }

    /** A few servers, of different groups as far as possible; those chosen before stay. */
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

    // ---- the raise ----

    private static Optional<Step> nextAtShare(Situation now, Exposure.Share share) {
        boolean proven = now.assessment() instanceof VersionJudge.Assessment.Proven;
        if (share.isAll() && proven) {
            return nextAtFullShare(now);
        }
        if (now.isPast(LAST_END_FRACTION)) {
            return end(now, RolloutState.ROLLED_BACK, "share not raised within the term");
        }
        boolean tried =
                now.atStepMs() >= shareStepMs(now.rollout())
                        && now.triedAtStep() >= MIN_TRIED_AT_SHARE;
        if (share.isAll() || !proven || !tried) {
            return Optional.empty();
        }
        return expose(now, new Exposure.Share(nextPermille(share)), "no harm at this share");
    }

    private static Optional<Step> nextAtFullShare(Situation now) {
        if (now.drained()) {
            return end(now, RolloutState.DONE, "old servers are drained");
        }
        boolean waitedEnough =
                now.atStepMs() >= DRAIN_FRACTION * now.rollout().termMs()
                        || now.isPast(LAST_END_FRACTION);
        return waitedEnough ? end(now, RolloutState.DONE, "drain timed out") : Optional.empty();
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

    private static Optional<Step> expose(Situation now, Exposure next, String cause) {
        return Optional.of(new Step(now.rollout().withExposure(now.elapsedMs(), next), cause));
    }

    private static Optional<Step> end(Situation now, RolloutState state, String cause) {
        return Optional.of(new Step(now.rollout().ended(now.elapsedMs(), state), cause));
    }
}
