package poppynotch.control;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.ChangeFunction;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.ExposureLimits;
import poppynotch.rollout.MalformedRolloutsException;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutPlanner;
import poppynotch.rollout.RolloutRequest;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;
import poppynotch.rollout.VersionJudge;
import poppynotch.rollout.VersionOutcomes;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Controls the rollouts of new versions while this replica holds the singleton role: it assesses
 * each running one by the edges' reports and proposes its next step. It also records the serving
 * version of each service (see {@link ServingVersionMonitor}).
 *
 * <p>Two replicas that act at the same time do no harm: a step is applied only to the step that it
 * follows.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in.
 */
final class RolloutController {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutController.class);

    private static final long INTERVAL_MS = 250;
    private static final long STEP_TIMEOUT_MS = 1500;

    private final RegisterReplica register;
    private final ServerRegistry registry;
    private final EdgeDirectory edges;
    private final RolloutReportStore reports;
    private final RoleElection election;
    private final BooleanSupplier quorumLeaseExpired;
    private final RolloutPlanner planner;
    private final ServingVersionMonitor servingVersionMonitor;
    private final RolloutClock rolloutClock = new RolloutClock();

    /** Judges of the running rollouts, by their ids. */
    private final Map<Long, VersionJudge> judges = new HashMap<>();

    /** The newest table that this replica knows to be chosen. */
    private RolloutTable table = RolloutTable.EMPTY;

    private byte[] encodedTable = new byte[0];

    /** The revision by which this replica learned of a rollout's present step, by rollout id. */
    private final Map<Long, Long> stepRevisions = new HashMap<>();

    /** How many attempts at the target version had ended when a step was first evaluated. */
    private record StepStart(long step, long targetEnded) {}

    private final Map<Long, StepStart> stepStarts = new HashMap<>();

    private boolean changeInProgress;
    private long nextTickMs;

    /**
     * Creates a controller that knows no rollouts.
     *
     * @param quorumLeaseExpired whether this replica's quorum lease has expired, so that it may
     *     change nothing
     */
    RolloutController(
            RegisterReplica register,
            ServerRegistry registry,
            EdgeDirectory edges,
            RolloutReportStore reports,
            RoleElection election,
            BooleanSupplier quorumLeaseExpired,
            ExposureLimits limits) {
        this.register = register;
        this.registry = registry;
        this.edges = edges;
        this.reports = reports;
        this.election = election;
        this.quorumLeaseExpired = quorumLeaseExpired;
        planner = new RolloutPlanner(limits);
        servingVersionMonitor = new ServingVersionMonitor(registry);
    }

    /** The versions and rollouts in the newest value known to be chosen. */
    RolloutTable table() {
        return table;
    }

    /** Applies the rollouts of a newer chosen value. */
    void onValueChosen(long nowMs, RegisterValue value) {
        if (Arrays.equals(encodedTable, value.rollouts())) {
            return;
        }
        RolloutTable before = table;
        encodedTable = value.rollouts();
        try {
            table = RolloutTableCodec.decode(encodedTable);
        } catch (MalformedRolloutsException e) {
            LOG.error("Rollouts ignored: revision={}, cause={}", value.revision(), e.getMessage());
            return;
        }
        rolloutClock.onTable(nowMs, table);
        Set<Long> running = new HashSet<>();
        for (ServiceVersions service : table.services().values()) {
            service.rollout().ifPresent(rollout -> logStep(nowMs, before, service, rollout));
            service.runningRollout()
                    .ifPresent(
                            rollout -> {
                                running.add(rollout.id());
                                if (isNewStep(before, service, rollout)) {
                                    stepRevisions.put(rollout.id(), value.revision());
                                }
                            });
        }
        judges.keySet().retainAll(running);
        stepRevisions.keySet().retainAll(running);
        stepStarts.keySet().retainAll(running);
        reports.retain(running);
    }

    private static boolean isNewStep(
            RolloutTable before, ServiceVersions service, Rollout rollout) {
        return !before.service(service.backend())
                .flatMap(ServiceVersions::rollout)
                .equals(Optional.of(rollout));
    }

    private void logStep(
            long nowMs, RolloutTable before, ServiceVersions service, Rollout rollout) {
        Optional<Rollout> known =
                before.service(service.backend()).flatMap(ServiceVersions::rollout);
        if (known.equals(Optional.of(rollout))) {
            return;
        }
        LOG.info(
                "Rollout changed: id={}, service={}, targetVersion={}, state={} -> {},"
                        + " elapsedMs={}, termMs={}, servingVersion={}",
                rollout.id(),
                service.backend(),
                rollout.targetVersion(),
                known.filter(earlier -> earlier.id() == rollout.id())
                        .map(RolloutController::describe)
                        .orElse("none"),
                describe(rollout),
                rolloutClock.elapsedMs(nowMs, service.backend(), rollout),
                rollout.termMs(),
                service.servingVersion());
    }

    private static String describe(Rollout rollout) {
        return rollout.state().wireName() + " " + ExposureText.of(rollout.exposure());
    }

    // ---- operators ----

    /** The versions and latest rollouts of all services, as known to this replica. */
    List<ServiceStatus> statuses(long nowMs) {
        return table.services().values().stream().map(known -> status(nowMs, known)).toList();
    }

    private ServiceStatus status(long nowMs, ServiceVersions service) {
        Optional<Rollout> rollout = service.rollout();
        VersionOutcomes outcomes =
                rollout.map(latest -> reports.outcomes(service.backend(), latest))
                        .orElse(VersionOutcomes.NONE);
        long elapsedMs =
                rollout.map(latest -> rolloutClock.elapsedMs(nowMs, service.backend(), latest))
                        .orElse(0L);
        return new ServiceStatus(service, elapsedMs, outcomes.targetEnded(), outcomes.ended());
    }

    /** Creates the change of the register that submits an order. */
    RolloutOrder order(long nowMs, RolloutRequest request) {
        Optional<Rollout> latest =
                table.service(request.backend()).flatMap(ServiceVersions::rollout);
        OptionalLong superseded =
                latest.filter(
                                rollout ->
                                        rolloutClock.isPastRepeatWindow(
                                                nowMs, request.backend(), rollout))
                        .map(rollout -> OptionalLong.of(rollout.id()))
                        .orElse(OptionalLong.empty());
        return new RolloutOrder(
                request,
                servingVersionMonitor.unstatedVersion(
                        nowMs, request.backend(), request.targetVersion()),
                superseded);
    }

    // ---- control ----

    /** Proposes due changes, one at a time, while this replica holds the role. */
    void tick(long nowMs) {
        if (nowMs < nextTickMs) {
            return;
        }
        nextTickMs = nowMs + INTERVAL_MS;
        servingVersionMonitor.observe(nowMs, table);
        boolean mayAct =
                election.isHolder(nowMs)
                        && !quorumLeaseExpired.getAsBoolean()
                        && register.chosenGeneration() > 0;
        if (!mayAct) {
            return;
        }
        if (!changeInProgress) {
            servingVersionMonitor
                    .nextChange(nowMs, table)
                    .ifPresent(change -> propose(nowMs, change, outcome -> {}));
        }
        for (ServiceVersions service : table.services().values()) {
            service.runningRollout().ifPresent(rollout -> control(nowMs, service, rollout));
        }
    }

    private void control(long nowMs, ServiceVersions service, Rollout rollout) {
        VersionJudge judge = judges.computeIfAbsent(rollout.id(), id -> new VersionJudge());
        RolloutPlanner.Situation situation = situation(nowMs, service, rollout, judge);
        if (changeInProgress) {
            return;
        }
        planner.next(situation)
                .ifPresent(step -> propose(nowMs, service.backend(), situation, step));
    }

    private RolloutPlanner.Situation situation(
            long nowMs, ServiceVersions service, Rollout rollout, VersionJudge judge) {
        VersionOutcomes outcomes = reports.outcomes(service.backend(), rollout);
        judge.addOutcomes(outcomes);
        List<Long> presentEdges = edges.liveIncarnations(nowMs);
        List<ServerRecord> readyServers =
                registry.liveServers().stream()
                        .filter(server -> server.state() == ServerState.READY)
                        .filter(server -> server.backend().equals(service.backend()))
                        .toList();
        return new RolloutPlanner.Situation(
                rollout,
                rolloutClock.elapsedMs(nowMs, service.backend(), rollout),
                rolloutClock.stepElapsedMs(nowMs, service.backend(), rollout),
                targetAttemptsAtStep(rollout, outcomes),
                judge.assess(),
                outcomes,
                readyServers.stream()
                        .filter(server -> server.version().equals(rollout.targetVersion()))
                        .map(ServerRecord::id)
                        .sorted()
                        .toList(),
                (int)
                        readyServers.stream()
                                .filter(server -> server.version().equals(service.servingVersion()))
                                .count(),
                presentEdges,
                hasDrained(service.backend(), rollout, presentEdges));
    }

    private long targetAttemptsAtStep(Rollout rollout, VersionOutcomes outcomes) {
        StepStart start = stepStarts.get(rollout.id());
        if (start == null || start.step() != rollout.step()) {
            start = new StepStart(rollout.step(), outcomes.targetEnded());
            stepStarts.put(rollout.id(), start);
        }
        return outcomes.targetEnded() - start.targetEnded();
    }

    private boolean hasDrained(String backend, Rollout rollout, List<Long> presentEdges) {
        Long revision = stepRevisions.get(rollout.id());
        return revision != null
                && !presentEdges.isEmpty()
                && reports.hasDrained(backend, rollout, revision, presentEdges);
    }

    private void propose(
            long nowMs,
            String backend,
            RolloutPlanner.Situation situation,
            RolloutPlanner.Step step) {
        Rollout before = situation.rollout();
        propose(
                nowMs,
                new RolloutStep(backend, before, step.next()),
                outcome ->
                        LOG.info(
                                "Rollout step proposed: id={}, service={}, state={} -> {},"
                                    + " cause={}, elapsedMs={}, attemptsAtTarget={}, attempts={},"
                                    + " assessment={}, outcome={}",
                                before.id(),
                                backend,
                                describe(before),
                                describe(step.next()),
                                step.cause(),
                                situation.elapsedMs(),
                                situation.outcomes().targetEnded(),
                                situation.outcomes().ended(),
                                situation.assessment(),
                                outcome.getClass().getSimpleName()));
    }

    private void propose(long nowMs, ChangeFunction change, Consumer<ProposalOutcome> end) {
        changeInProgress = true;
        register.submit(
                nowMs,
                change,
                nowMs + STEP_TIMEOUT_MS,
                outcome -> {
                    changeInProgress = false;
                    end.accept(outcome);
                });
    }
}
