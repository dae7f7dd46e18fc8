package poppynotch.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import poppynotch.rollout.Exposure;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.ServiceVersions;

/**
 * Chooses the versions of a service's servers that an attempt may go to, by the rollout table that
 * the fleet has agreed on. A version that is neither serving nor exposed gets no attempts, even at
 * an edge that has not learned of its rollout yet. A new version gets attempts only if the control
 * plane has recently confirmed the table, so that an edge out of contact, or resumed after a pause,
 * falls back to the serving version.
 *
 * <p>Confined to the edge's event loop; callers pass the time.
 */
public final class VersionSelector {

    /** The time for which a confirmation of the rollout table is valid. */
    static final long CONFIRMATION_MS = 1500;

    /** The probability of a trial attempt while budget is left, which spreads trials over time. */
    private static final double TRIAL_PROBABILITY = 0.5;

    private static final List<VersionChoice> ANY = List.of(new VersionChoice.Any());

    private final long edgeIncarnation;
    private final SplittableRandom random;

    /** Whether attempts at this edge show that the new version of a backend does harm. */
    private final Predicate<String> isSuspect;

    private RolloutTable table = RolloutTable.EMPTY;
    private long confirmedUpToMs = Long.MIN_VALUE / 2;

    /** The number of trial attempts at this edge, by the id of the rollout. */
    private final Map<Long, Long> trialAttempts = new HashMap<>();

    /**
     * Creates a selector with an empty rollout table.
     *
     * @param edgeIncarnation the incarnation of this edge's process
     * @param isSuspect whether attempts at this edge show that the new version of a backend does
     *     harm
     */
    public VersionSelector(
            long edgeIncarnation, SplittableRandom random, Predicate<String> isSuspect) {
        this.edgeIncarnation = edgeIncarnation;
        this.random = random;
        this.isSuspect = isSuspect;
    }

    /** Applies a newer table. */
    public void apply(RolloutTable newer) {
        table = newer;
        Set<Long> running = new HashSet<>();
        table.services()
                .values()
                .forEach(
                        service ->
                                service.runningRollout()
                                        .ifPresent(rollout -> running.add(rollout.id())));
        trialAttempts.keySet().retainAll(running);
    }

    /** Records that the control plane has confirmed the current table up to a time. */
    public void onConfirmed(long upToMs) {
        confirmedUpToMs = Math.max(confirmedUpToMs, upToMs);
    }

    /**
     * Returns the choices for an attempt in order of preference. The attempt goes to the first one
     * that has a free slot.
     *
     * @param isFirstAttempt whether it is the first attempt of its request; retries are never
     *     trials
     */
    public List<VersionChoice> choices(long nowMs, String backend, boolean isFirstAttempt) {
        if (table.isEmpty()) {
            return ANY;
        }
        Optional<ServiceVersions> service = table.service(backend);
        VersionChoice serving =
                new VersionChoice.Serving(service.map(ServiceVersions::servingVersion).orElse(""));
        Optional<Rollout> rollout = service.flatMap(ServiceVersions::runningRollout);
        if (rollout.isEmpty()) {
            return List.of(serving);
        }
        boolean mayExpose = nowMs - confirmedUpToMs <= CONFIRMATION_MS && !isSuspect.test(backend);
        Exposure exposure = rollout.get().exposure();
        if (exposure instanceof Exposure.Share share) {
            return choicesAtShare(rollout.get(), share, serving, mayExpose);
        }
        boolean isTrial =
                mayExpose
                        && isFirstAttempt
                        && exposure instanceof Exposure.AttemptBudget budget
                        && hasBudgetLeft(rollout.get().id(), budget)
                        && random.nextDouble() < TRIAL_PROBABILITY;
        return isTrial ? List.of(trial(backend, rollout.get()), serving) : List.of(serving);
    }

    private List<VersionChoice> choicesAtShare(
            Rollout rollout, Exposure.Share share, VersionChoice serving, boolean mayExpose) {
        VersionChoice target = new VersionChoice.Target(rollout.targetVersion());
        if (mayExpose && random.nextInt(Exposure.Share.ALL_PERMILLE) < share.permille()) {
            return List.of(target, serving);
        }
        // At the full share, old servers may stop before this edge learns that the rollout is done.
        return share.isAll() ? List.of(serving, target) : List.of(serving);
    }

    private boolean hasBudgetLeft(long rolloutId, Exposure.AttemptBudget budget) {
        return trialAttempts.getOrDefault(rolloutId, 0L) < budget.attemptsOf(edgeIncarnation);
    }

    private static VersionChoice trial(String backend, Rollout rollout) {
        Exposure.AttemptBudget budget = (Exposure.AttemptBudget) rollout.exposure();
        return new VersionChoice.Trial(
                backend, rollout.id(), rollout.targetVersion(), Set.copyOf(budget.serverIds()));
    }

    /** Records that an attempt was granted a slot for a choice. */
    public void onAttempt(VersionChoice choice) {
        if (choice instanceof VersionChoice.Trial trial) {
            trialAttempts.merge(trial.rolloutId(), 1L, Long::sum);
        }
    }
}
