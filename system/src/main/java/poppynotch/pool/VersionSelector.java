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
 * Chooses which versions of a service's servers an attempt may go to, by what the fleet has agreed
 * on. A version that neither serves nor is exposed gets nothing, also at an edge that has not
 * learned of the roll-out. A new version gets something only while the control plane has confirmed
 * lately what is in force, so that an edge out of contact, or resumed after a pause, falls back to
 * the version that serves.
 *
 * <p>Used by one edge, on its event loop; time is passed in.
 */
public final class VersionSelector {

    /** An exposure is used for so long after the time for which it was last confirmed. */
    static final long CONFIRMATION_MS = 1500;

    /** The probability with which a request uses a right that is left, to spread them over time. */
    private static final double TRIAL_PROBABILITY = 0.5;

    private static final List<VersionChoice> ANY = List.of(new VersionChoice.Any());

    private final long edgeIncarnation;
    private final SplittableRandom random;

    /** Whether this edge has seen harm by the new version of a service itself. */
    private final Predicate<String> isSuspect;

    private RolloutTable table = RolloutTable.EMPTY;
    private long confirmedUpToMs = Long.MIN_VALUE / 2;

    /** Attempts at versions that are tried, by the ids of their roll-outs. */
    private final Map<Long, Long> usedRights = new HashMap<>();

    /**
     * Creates a selector that knows no versions.
     *
     * @param edgeIncarnation of this edge's process
     * @param isSuspect whether the new version of a backend does harm by what this edge has seen
     */
    public VersionSelector(
            long edgeIncarnation, SplittableRandom random, Predicate<String> isSuspect) {
        this.edgeIncarnation = edgeIncarnation;
        this.random = random;
        this.isSuspect = isSuspect;
    }

    /** Takes over a newer table. */
    public void apply(RolloutTable newer) {
        table = newer;
        Set<Long> running = new HashSet<>();
        table.services()
                .values()
                .forEach(
                        service ->
                                service.runningRollout()
                                        .ifPresent(rollout -> running.add(rollout.id())));
        usedRights.keySet().retainAll(running);
    }

    /** Records that the control plane has confirmed what is in force up to a time. */
    public void onConfirmed(long upToMs) {
        confirmedUpToMs = Math.max(confirmedUpToMs, upToMs);
    }

    /**
     * What an attempt may go to: the first choice that has a free slot.
     *
     * @param first whether it is the first attempt of its request; retries try no version
     */
    public List<VersionChoice> choices(long nowMs, String backend, boolean first) {
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
        boolean trusted = nowMs - confirmedUpToMs <= CONFIRMATION_MS && !isSuspect.test(backend);
        Exposure exposure = rollout.get().exposure();
        if (exposure instanceof Exposure.Share share) {
            return choicesAtShare(rollout.get(), share, serving, trusted);
        }
        boolean mayTry =
                trusted
                        && first
                        && exposure instanceof Exposure.AttemptBudget rights
                        && hasRightLeft(rollout.get().id(), rights)
                        && random.nextDouble() < TRIAL_PROBABILITY;
        return mayTry ? List.of(trial(backend, rollout.get()), serving) : List.of(serving);
    }

    private List<VersionChoice> choicesAtShare(
            Rollout rollout, Exposure.Share share, VersionChoice serving, boolean trusted) {
        VersionChoice target = new VersionChoice.Target(rollout.targetVersion());
        if (trusted && random.nextInt(Exposure.Share.ALL_PERMILLE) < share.permille()) {
            return List.of(target, serving);
        }
        // At the full share the old servers may stop before this edge learns that it is done.
        return share.isAll() ? List.of(serving, target) : List.of(serving);
    }

    private boolean hasRightLeft(long rolloutId, Exposure.AttemptBudget rights) {
        return usedRights.getOrDefault(rolloutId, 0L) < rights.attemptsOf(edgeIncarnation);
    }

    private static VersionChoice trial(String backend, Rollout rollout) {
        Exposure.AttemptBudget rights = (Exposure.AttemptBudget) rollout.exposure();
        return new VersionChoice.Trial(
                backend, rollout.id(), rollout.targetVersion(), Set.copyOf(rights.serverIds()));
    }

    /** Records that an attempt has got a slot by a choice. */
    public void onAttempt(VersionChoice choice) {
        if (choice instanceof VersionChoice.Trial trial) {
            usedRights.merge(trial.rolloutId(), 1L, Long::sum);
        }
    }
}
