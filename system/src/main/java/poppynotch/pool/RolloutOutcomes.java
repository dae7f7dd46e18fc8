package poppynotch.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntBiFunction;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.ServerGroups;
import poppynotch.rollout.ServiceVersions;
import poppynotch.rollout.VersionOutcomes;
import poppynotch.rollout.VersionOutcomes.Counts;
import poppynotch.rollout.VersionOutcomes.Key;
import poppynotch.wire.OutcomeCount;
import poppynotch.wire.RolloutReport;

/**
 * Counts how attempts at both versions of a service end while a rollout of it is running, for the
 * control plane's judgement and for this edge's own.
 *
 * <p>Confined to the edge's event loop.
 */
public final class RolloutOutcomes {

    /** The minimum number of failures at this edge for which it suspects a version. */
    private static final long MIN_SUSPECT_FAILURES = 4;

    private static final double SUSPECT_FAILURE_RATE = 0.3;

    /** Above this failure rate of the serving version, failures are no evidence on the new one. */
    private static final double MAX_BASELINE_FAILURE_RATE = 0.1;

    /** The counts of one running rollout. */
    private static final class Counters {
        private final Rollout rollout;
        private final String servingVersion;
        private final Map<Key, Counts> counts = new TreeMap<>();

        /** The latest report; null before the first. */
        private RolloutReport reported;

        Counters(Rollout rollout, String servingVersion) {
            this.rollout = rollout;
            this.servingVersion = servingVersion;
        }

        private boolean isTarget(EndedAttempt attempt) {
            return attempt.version().equals(rollout.targetVersion());
        }

        private boolean isServing(EndedAttempt attempt) {
            return attempt.version().isEmpty() || attempt.version().equals(servingVersion);
        }

        private void add(Key key, Counts ended) {
            counts.merge(key, ended, Counts::plus);
        }
    }

    private final long edgeIncarnation;
    private final ToIntBiFunction<String, String> inFlight;
    private final SlownessBaseline slowness = new SlownessBaseline();
    private final Map<String, Counters> countersByBackend = new HashMap<>();
    private RolloutTable table = RolloutTable.EMPTY;
    private long appliedRevision;

    /**
     * Creates counters without a rollout.
     *
     * @param edgeIncarnation the incarnation of this edge's process
     * @param inFlight returns the attempts in flight at servers of a backend and a version
     */
    public RolloutOutcomes(long edgeIncarnation, ToIntBiFunction<String, String> inFlight) {
        this.edgeIncarnation = edgeIncarnation;
        this.inFlight = inFlight;
    }

    /** Applies the table of a newer revision of the register. */
    public void apply(RolloutTable newer, long revision) {
        table = newer;
        appliedRevision = revision;
        countersByBackend
                .keySet()
                .removeIf(
                        backend ->
                                table.service(backend)
                                        .flatMap(ServiceVersions::runningRollout)
                                        .isEmpty());
        for (ServiceVersions service : table.services().values()) {
            service.runningRollout().ifPresent(rollout -> begin(service, rollout));
        }
    }

    private void begin(ServiceVersions service, Rollout rollout) {
        Counters existing = countersByBackend.get(service.backend());
        if (existing == null || existing.rollout.id() != rollout.id()) {
            countersByBackend.put(
                    service.backend(), new Counters(rollout, service.servingVersion()));
        }
    }

    /** Records the end of an attempt. */
    public void onEnded(EndedAttempt attempt) {
        Counters counters = countersByBackend.get(attempt.backend());
        boolean isTarget = counters != null && counters.isTarget(attempt);
        Optional<Boolean> slow = slowness.isSlow(attempt, !isTarget);
        boolean failed = isFailure(attempt.outcome());
        boolean isConclusive = slow.isPresent() || failed;
        if (isConclusive && (isTarget || (counters != null && counters.isServing(attempt)))) {
            int group = isTarget ? ServerGroups.of(attempt.serverId()) : OutcomeCount.BASELINE;
            counters.add(
                    new Key(attempt.route(), group),
                    new Counts(1, failed ? 1 : 0, slow.orElse(false) ? 1 : 0));
        }
    }

    private static boolean isFailure(SlotOutcome outcome) {
        return switch (outcome) {
            case ERROR_RESPONSE, UNREACHABLE, INVALID_RESPONSE, TIMED_OUT -> true;
            case SERVED, REJECTED, CANCELLED -> false;
        };
    }

    /** Whether the attempts at this edge show that the new version of a backend does harm. */
    public boolean isSuspect(String backend) {
        Counters counters = countersByBackend.get(backend);
        if (counters == null) {
            return false;
        }
        Counts target = new Counts(0, 0, 0);
        Counts baseline = new Counts(0, 0, 0);
        HashSet<Integer> groups = new HashSet<>();
        HashSet<Integer> failedGroups = new HashSet<>();
        for (Map.Entry<Key, Counts> entry : counters.counts.entrySet()) {
            if (entry.getKey().isBaseline()) {
                baseline = baseline.plus(entry.getValue());
            } else {
                target = target.plus(entry.getValue());
                groups.add(entry.getKey().serverGroup());
                if (entry.getValue().failed() > 0) {
                    failedGroups.add(entry.getKey().serverGroup());
                }
            }
        }
        boolean inMostGroups = failedGroups.size() > groups.size() / 2;
        return inMostGroups
                && target.failed() >= MIN_SUSPECT_FAILURES
                && target.failed() >= SUSPECT_FAILURE_RATE * target.ended()
                && baseline.failed() <= MAX_BASELINE_FAILURE_RATE * baseline.ended();
    }

    /** Returns a report on each running rollout. Its sequence number grows with each change. */
    public List<RolloutReport> reports() {
        List<RolloutReport> reports = new ArrayList<>(countersByBackend.size());
        countersByBackend.forEach((backend, counters) -> reports.add(report(backend, counters)));
        return reports;
    }

    private RolloutReport report(String backend, Counters counters) {
        List<OutcomeCount> counts = new ArrayList<>(counters.counts.size());
        counters.counts.forEach(
                (key, count) ->
                        counts.add(
                                new OutcomeCount(
                                        key.route(),
                                        key.serverGroup(),
                                        (int) count.ended(),
                                        (int) count.failed(),
                                        (int) count.slow())));
        RolloutReport previous = counters.reported;
        RolloutReport next =
                new RolloutReport(
                        edgeIncarnation,
                        previous == null ? 1 : previous.sequence(),
                        backend,
                        counters.rollout.id(),
                        appliedRevision,
                        inFlight.applyAsInt(backend, counters.servingVersion),
                        counts);
        if (!next.equals(previous)) {
            counters.reported =
                    previous == null ? next : next.withSequence(previous.sequence() + 1);
        }
        return counters.reported;
    }

    /** The outcomes counted at this edge for a backend's running rollout. */
    public VersionOutcomes outcomes(String backend) {
        Counters counters = countersByBackend.get(backend);
        return counters == null ? VersionOutcomes.NONE : new VersionOutcomes(counters.counts);
    }
}
