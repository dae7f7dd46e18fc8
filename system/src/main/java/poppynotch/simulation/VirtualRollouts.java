package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.control.OperatorChangeResult;
import poppynotch.control.RolloutReadResult;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutRequest;
import poppynotch.rollout.RolloutState;

/**
 * Rolls out one version of the fleet's servers after the other. Some versions are bad: their
 * servers fail requests from the start or from a later time on. Checks the guarantees of rollouts:
 * an acknowledged request is never lost or begun twice, a rollout does not continue after its end,
 * and a bad version gets no more attempts than allowed.
 */
final class VirtualRollouts {

    static final String BACKEND = "s";

    /** The version of the servers that exist from the start. */
    static final String FIRST_VERSION = "v0";

    /** Edges in contact receive a recorded change within this time. */
    private static final long PROPAGATION_MS = 1000;

    private static final long TERM_MS = 12_000;
    private static final long CALL_TIMEOUT_MS = 1000;
    private static final long RETRY_DELAY_MS = 150;
    private static final int MAX_READ_PAUSE_MS = 400;
    private static final int MAX_ROLLOUT_PAUSE_MS = 2500;
    private static final int SERVERS_PER_VERSION = 3;
    private static final double BAD_FAILURE_RATE = 0.5;
    private static final int MAX_FAULT_DELAY_MS = 3000;

    /** On average one answer is lost out of this number. */
    private static final int LOST_ANSWER_ODDS = 5;

    /** A requested rollout, and the observations of it. */
    private static final class SubmittedRollout {
        private final RolloutRequest request;
        private final boolean bad;
        private final long faultyFromMs;
        private final List<VirtualServer> servers = new ArrayList<>();
        private boolean acknowledged;

        /** The latest state that was read; null before the first read. */
        private Rollout latest;

        private long attemptsAtTarget;
        private long attempts;

        SubmittedRollout(RolloutRequest request, boolean bad, long faultyFromMs) {
            this.request = request;
            this.bad = bad;
            this.faultyFromMs = faultyFromMs;
        }

        boolean hasEnded() {
            return latest != null && !latest.isRunning();
        }
    }

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final Consumer<String> report;
    private final List<SubmittedRollout> submittedRollouts = new ArrayList<>();
    private final Map<String, SubmittedRollout> rolloutByVersion = new HashMap<>();

    VirtualRollouts(SimulatedFleet fleet, SplittableRandom random, Consumer<String> report) {
        this.fleet = fleet;
        this.random = random;
        this.report = report;
    }

    /** Submits the first rollout once the control plane has recorded the serving version. */
    void start() {
        boolean recorded =
                fleet.replicas().stream()
                        .flatMap(replica -> replica.node().chosenValue().stream())
                        .anyMatch(chosen -> chosen.value().rollouts().length > 0);
        if (recorded) {
            fleet.time().after(PROPAGATION_MS, this::submitNext);
            fleet.time().after(PROPAGATION_MS + 1, this::readPeriodically);
        } else {
            fleet.time().after(RETRY_DELAY_MS, this::start);
        }
    }

    private void submitNext() {
        if (fleet.operator().isStopped()) {
            return;
        }
        long nowMs = fleet.time().getAsLong();
        boolean bad = random.nextBoolean();
        long faultDelayMs = random.nextBoolean() ? random.nextInt(MAX_FAULT_DELAY_MS) : 0;
        SubmittedRollout rollout =
                new SubmittedRollout(
                        new RolloutRequest(BACKEND, "v" + (submittedRollouts.size() + 1), TERM_MS),
                        bad,
                        nowMs + faultDelayMs);
        submittedRollouts.add(rollout);
        rolloutByVersion.put(rollout.request.targetVersion(), rollout);
        for (int i = 0; i < SERVERS_PER_VERSION; i++) {
            rollout.servers.add(fleet.addServer(rollout.request.targetVersion()));
        }
        submit(rollout);
    }

    private void submit(SubmittedRollout rollout) {
        boolean isKnown = rollout.acknowledged || rollout.latest != null;
        if (isKnown || fleet.operator().isStopped()) {
            return;
        }
        VirtualControlPlane replica = randomReplica();
        new ExternalCall<OperatorChangeResult>(
                        fleet,
                        replica,
                        CALL_TIMEOUT_MS,
                        VirtualOperator.class,
                        result -> result instanceof OperatorChangeResult.Applied)
                .start(
                        onAnswer -> submit(replica, rollout, onAnswer),
                        answer -> onAnswer(rollout, answer));
    }

    private void submit(
            VirtualControlPlane replica,
            SubmittedRollout rollout,
            Consumer<OperatorChangeResult> onAnswer) {
        if (fleet.defect() == SeededDefect.ORDER_ACKNOWLEDGED_FROM_MEMORY) {
            replica.node().submitRollout(rollout.request, result -> {});
            onAnswer.accept(new OperatorChangeResult.Applied(0));
        } else {
            replica.node().submitRollout(rollout.request, onAnswer);
        }
    }

    private void onAnswer(SubmittedRollout rollout, Optional<OperatorChangeResult> answer) {
        boolean lost = random.nextInt(LOST_ANSWER_ODDS) == 0;
        if (answer.isPresent() && !lost) {
            if (answer.get() instanceof OperatorChangeResult.Applied) {
                rollout.acknowledged = true;
            } else if (answer.get() instanceof OperatorChangeResult.Conflict) {
                report.accept("order " + rollout.request + " conflicts, and none else is running");
            }
        }
        fleet.time().after(RETRY_DELAY_MS, () -> submit(rollout));
    }

    // ---- reads ----

    private void readPeriodically() {
        fleet.time().after(1 + random.nextInt(MAX_READ_PAUSE_MS), this::readPeriodically);
        if (submittedRollouts.isEmpty()) {
            return;
        }
        SubmittedRollout expected = submittedRollouts.get(submittedRollouts.size() - 1);
        boolean acknowledgedBefore = expected.acknowledged;
        VirtualControlPlane replica = randomReplica();
        new ExternalCall<RolloutReadResult>(
                        fleet, replica, CALL_TIMEOUT_MS, VirtualRollouts.class, answer -> false)
                .start(
                        onAnswer -> replica.node().readRollout(BACKEND, onAnswer),
                        answer ->
                                answer.ifPresent(
                                        reading -> onRead(expected, acknowledgedBefore, reading)));
    }

    private void onRead(
            SubmittedRollout expected, boolean acknowledged, RolloutReadResult reading) {
        if (reading instanceof RolloutReadResult.Unknown) {
            return;
        }
        String target =
                reading instanceof RolloutReadResult.Found found
                        ? found.rollout().targetVersion()
                        : "none";
        if (!target.equals(expected.request.targetVersion())) {
            // A read may be answered after the next rollout was submitted.
            boolean isLater =
                    rolloutByVersion.containsKey(target)
                            && submittedRollouts.indexOf(rolloutByVersion.get(target))
                                    > submittedRollouts.indexOf(expected);
            if (acknowledged && !isLater) {
                report.accept(
                        "order "
                                + expected.request
                                + " was acknowledged, and a read gives "
                                + target);
            }
            return;
        }
        onState(expected, ((RolloutReadResult.Found) reading).rollout());
    }

    /** Checks and records a state. Older steps are ignored: reads may complete out of order. */
    private void onState(SubmittedRollout rollout, Rollout read) {
        Rollout before = rollout.latest;
        if (before != null && before.id() != read.id()) {
            report.accept("order " + rollout.request + " was begun twice: " + before + ", " + read);
        } else if (before == null || read.step() > before.step()) {
            if (rollout.hasEnded()) {
                report.accept("roll-out went on after its end: " + before + ", " + read);
            }
            rollout.latest = read;
            if (rollout.hasEnded()) {
                onEnded(rollout);
            }
        }
    }

    private void onEnded(SubmittedRollout rollout) {
        checkExposure(rollout);
        boolean done = rollout.latest.state() == RolloutState.DONE;
        boolean servedBefore = rollout.latest.elapsedMs() == 0;
        if (done && rollout.bad && !servedBefore) {
            report.accept("bad version is done: " + rollout.latest);
        }
        if (done) {
            fleet.checker().checkDrained(rollout.request.targetVersion());
            fleet.servers().stream()
                    .filter(server -> !rollout.servers.contains(server))
                    .forEach(VirtualServer::crash);
        } else {
            rollout.servers.forEach(VirtualServer::crash);
        }
        fleet.time().after(1 + random.nextInt(MAX_ROLLOUT_PAUSE_MS), this::submitNext);
    }

    private VirtualControlPlane randomReplica() {
        List<VirtualControlPlane> replicas = fleet.replicas();
        return replicas.get(random.nextInt(replicas.size()));
    }

    // ---- requests ----

    /** Called when an edge sends an attempt to a version's server; returns whether it fails. */
    boolean onAttempt(String version) {
        if (submittedRollouts.isEmpty()) {
            return false;
        }
        SubmittedRollout running = submittedRollouts.get(submittedRollouts.size() - 1);
        if (!running.hasEnded()) {
            running.attempts++;
        }
        SubmittedRollout rollout = rolloutByVersion.get(version);
        if (rollout == null) {
            return false;
        }
        if (rollout.latest != null && rollout.latest.state() == RolloutState.DONE) {
            return false;
        }
        rollout.attemptsAtTarget++;
        boolean faulty = rollout.bad && fleet.time().getAsLong() >= rollout.faultyFromMs;
        return faulty && random.nextDouble() < BAD_FAILURE_RATE;
    }

    private void checkExposure(SubmittedRollout rollout) {
        double allowed =
                VirtualControlPlane.EXPOSURE_SLACK_REQUESTS
                        + VirtualControlPlane.EXPOSURE_SHARE * rollout.attempts;
        if (rollout.bad && rollout.attemptsAtTarget > allowed) {
            report.accept(
                    "bad version got "
                            + rollout.attemptsAtTarget
                            + " of "
                            + rollout.attempts
                            + " attempts: "
                            + rollout.request);
        }
    }

    /** Checks that the last rollout has ended; called longer than its term after all faults. */
    void checkFinalState() {
        if (submittedRollouts.isEmpty()) {
            return;
        }
        SubmittedRollout last = submittedRollouts.get(submittedRollouts.size() - 1);
        if (last.acknowledged && !last.hasEnded()) {
            report.accept("roll-out does not end: " + last.request + ", " + last.latest);
        }
    }
}
