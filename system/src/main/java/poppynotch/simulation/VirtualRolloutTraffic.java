package poppynotch.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import poppynotch.pool.EndedAttempt;
import poppynotch.pool.RolloutOutcomes;
import poppynotch.pool.SlotOutcome;
import poppynotch.pool.VersionChoice;
import poppynotch.pool.VersionSelector;
import poppynotch.rollout.Exposure;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;
import poppynotch.wire.RolloutReport;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * The requests of one process of a {@link VirtualEdge}. The real {@link VersionSelector} chooses
 * their versions, and the real {@link RolloutOutcomes} counts their outcomes.
 */
final class VirtualRolloutTraffic {

    private static final String ROUTE = "r";
    private static final long MIN_DURATION_MS = 20;
    private static final int DURATION_BOUND_MS = 900;
    private static final long FIRST_RESPONSE_MS = 15;

    private final VirtualEdge edge;
    private final SimulatedFleet fleet;
    private final long incarnation;
    private final SplittableRandom random;
    private final RolloutOutcomes outcomes;
    private final VersionSelector selector;
    private final Map<String, Integer> inFlight = new HashMap<>();

    VirtualRolloutTraffic(VirtualEdge edge, SimulatedFleet fleet, long incarnation) {
        this.edge = edge;
        this.fleet = fleet;
        this.incarnation = incarnation;
        random = new SplittableRandom(incarnation);
        outcomes = new RolloutOutcomes(incarnation, (backend, version) -> inFlight(version));
        selector = new VersionSelector(incarnation, random, outcomes::isSuspect);
    }

    int inFlight(String version) {
        return inFlight.getOrDefault(version, 0);
    }

    /** Attempts in flight at servers that report another version, which may be shut down. */
    int inFlightAtOthers(String version) {
        return inFlight.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(version))
                .filter(entry -> !entry.getKey().isEmpty())
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    void apply(byte[] rollouts, long revision) {
        if (rollouts.length > 0) {
            RolloutTable table = RolloutTableCodec.decode(rollouts);
            selector.apply(
                    fleet.defect() == SeededDefect.EXPOSURE_COUNTED_BY_EACH_EDGE
                            ? withWholeBudgetHere(table)
                            : table);
            outcomes.apply(table, revision);
        }
    }

    private RolloutTable withWholeBudgetHere(RolloutTable table) {
        RolloutTable changed = table;
        for (ServiceVersions service : table.services().values()) {
            Rollout rollout = service.rollout().orElse(null);
            if (rollout != null && rollout.exposure() instanceof Exposure.AttemptBudget budget) {
                Exposure.AttemptBudget localBudget =
                        new Exposure.AttemptBudget(
                                budget.attempts(), List.of(incarnation), budget.serverIds());
                changed =
                        changed.with(
                                service.withRollout(
                                        rollout.withExposure(rollout.elapsedMs(), localBudget)));
            }
        }
        return changed;
    }

    void onConfirmed(long upToMs) {
        selector.onConfirmed(upToMs);
    }

    List<RolloutReport> reports() {
        List<RolloutReport> reports = outcomes.reports();
        return fleet.defect() == SeededDefect.DONE_BEFORE_DRAINED
                ? reports.stream().map(VirtualRolloutTraffic::withNothingInFlight).toList()
                : reports;
    }

    private static RolloutReport withNothingInFlight(RolloutReport report) {
        return new RolloutReport(
                report.edgeIncarnation(),
                report.sequence(),
                report.backend(),
                report.rolloutId(),
                report.appliedRevision(),
                0,
                report.counts());
    }

    /** Sends a request to a random ready server of the first choice that has one. */
    void onRequest(VirtualRollouts rollouts) {
        long nowMs = fleet.time().getAsLong();
        for (VersionChoice choice : selector.choices(nowMs, VirtualRollouts.BACKEND, true)) {
            List<ServerRecord> admitted =
                    edge.servers().stream()
                            .filter(server -> server.state() == ServerState.READY)
                            .filter(choice::admits)
                            .toList();
            if (!admitted.isEmpty()) {
                selector.onAttempt(choice);
                send(admitted.get(random.nextInt(admitted.size())), rollouts);
                return;
            }
        }
    }

    private void send(ServerRecord server, VirtualRollouts rollouts) {
        boolean fails = rollouts.onAttempt(server.version());
        inFlight.merge(server.version(), 1, Integer::sum);
        long durationMs = MIN_DURATION_MS + random.nextInt(DURATION_BOUND_MS);
        edge.runLater(
                durationMs,
                () -> {
                    inFlight.merge(server.version(), -1, Integer::sum);
                    outcomes.onEnded(
                            new EndedAttempt(
                                    VirtualRollouts.BACKEND,
                                    ROUTE,
                                    server.id(),
                                    server.version(),
                                    fails ? SlotOutcome.ERROR_RESPONSE : SlotOutcome.SERVED,
                                    FIRST_RESPONSE_MS,
                                    durationMs,
                                    0));
                });
    }
}
