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
 * An operator who brings in one version of the fleet's servers after the other, some good, some bad
 * from the start or from some moment on, and what must hold of them: an order that was acknowledged
 * is never lost and never begun twice, a roll-out does not go back to an earlier step, a version
 * gets nothing before its order, and a bad one no more than is allowed.
 */
final class VirtualRollouts {

    static final String BACKEND = "s";

    /** The version of the servers that are there from the start. */
    static final String FIRST_VERSION = "v0";

    /** By then edges in contact know of the record. */
    private static final long PROPAGATION_MS = 1000;

    private static final long TERM_MS = 12_000;
    private static final long CALL_TIMEOUT_MS = 1000;
    private static final long RETRY_DELAY_MS = 150;
    private static final int MAX_READ_PAUSE_MS = 400;
    private static final int MAX_ORDER_PAUSE_MS = 2500;
    private static final int SERVERS_OF_VERSION = 3;
    private static final double BAD_FAILURE_RATE = 0.5;
    private static final int MAX_LATE_MS = 3000;

    /** One in so many answers is lost. */
    private static final int LOST_ANSWER_ODDS = 5;

    /** A version that is ordered, and what is known of its roll-out. */
    private static final class Order {
        private final RolloutRequest request;
        private final boolean bad;
        private final long faultyFromMs;
        private final List<VirtualServer> servers = new ArrayList<>();
        private boolean acknowledged;

        /** The latest state that was read; null before the first. */
        private Rollout latest;

        private long attemptsAtTarget;
        private long attempts;

        Order(RolloutRequest request, boolean bad, long faultyFromMs) {
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
    private final List<Order> orders = new ArrayList<>();
    private final Map<String, Order> orderByVersion = new HashMap<>();

    VirtualRollouts(SimulatedFleet fleet, SplittableRandom random, Consumer<String> report) {
        this.fleet = fleet;
        this.random = random;
        this.report = report;
    }

    /** Places the first order, once the fleet has recorded which version serves. */
    void start() {
        boolean recorded =
                fleet.replicas().stream()
                        .flatMap(replica -> replica.node().chosenValue().stream())
                        .anyMatch(chosen -> chosen.value().rollouts().length > 0);
        if (recorded) {
            fleet.time().after(PROPAGATION_MS, this::placeOrder);
            fleet.time().after(PROPAGATION_MS + 1, this::readPeriodically);
        } else {
            fleet.time().after(RETRY_DELAY_MS, this::start);
        }
    }

    private void placeOrder() {
        if (fleet.operator().isStopped()) {
            return;
        }
        long nowMs = fleet.time().getAsLong();
        boolean bad = random.nextBoolean();
        long lateMs = random.nextBoolean() ? random.nextInt(MAX_LATE_MS) : 0;
        Order order =
                new Order(
                        new RolloutRequest(BACKEND, "v" + (orders.size() + 1), TERM_MS),
                        bad,
                        nowMs + lateMs);
        orders.add(order);
        orderByVersion.put(order.request.targetVersion(), order);
        for (int i = 0; i < SERVERS_OF_VERSION; i++) {
            order.servers.add(fleet.addServer(order.request.targetVersion()));
        }
        submit(order);
    }

    private void submit(Order order) {
        boolean isKnown = order.acknowledged || order.latest != null;
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
                        onAnswer -> submit(replica, order, onAnswer),
                        answer -> onAnswer(order, answer));
    }

    private void submit(
            VirtualControlPlane replica, Order order, Consumer<OperatorChangeResult> onAnswer) {
        if (fleet.defect() == SeededDefect.ORDER_ACKNOWLEDGED_FROM_MEMORY) {
            replica.node().submitRollout(order.request, result -> {});
            onAnswer.accept(new OperatorChangeResult.Applied(0));
        } else {
            replica.node().submitRollout(order.request, onAnswer);
        }
    }

    private void onAnswer(Order order, Optional<OperatorChangeResult> answer) {
        boolean lost = random.nextInt(LOST_ANSWER_ODDS) == 0;
        if (answer.isPresent() && !lost) {
            if (answer.get() instanceof OperatorChangeResult.Applied) {
                order.acknowledged = true;
            } else if (answer.get() instanceof OperatorChangeResult.Conflict) {
                report.accept("order " + order.request + " conflicts, and none else is running");
            }
        }
        fleet.time().after(RETRY_DELAY_MS, () -> submit(order));
    }

    // ---- reads ----

    private void readPeriodically() {
        fleet.time().after(1 + random.nextInt(MAX_READ_PAUSE_MS), this::readPeriodically);
        if (orders.isEmpty()) {
            return;
        }
        Order expected = orders.get(orders.size() - 1);
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

    private void onRead(Order expected, boolean acknowledged, RolloutReadResult reading) {
        if (reading instanceof RolloutReadResult.Unknown) {
            return;
        }
        String target =
                reading instanceof RolloutReadResult.Found found
                        ? found.rollout().targetVersion()
                        : "none";
        if (!target.equals(expected.request.targetVersion())) {
            // A read may be answered after the next order was placed.
            boolean isLater =
                    orderByVersion.containsKey(target)
                            && orders.indexOf(orderByVersion.get(target))
                                    > orders.indexOf(expected);
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

    /** Reads may overtake each other: an older step proves nothing. */
    private void onState(Order order, Rollout read) {
        Rollout before = order.latest;
        if (before != null && before.id() != read.id()) {
            report.accept("order " + order.request + " was begun twice: " + before + ", " + read);
        } else if (before == null || read.step() > before.step()) {
            if (order.hasEnded()) {
                report.accept("roll-out went on after its end: " + before + ", " + read);
            }
            order.latest = read;
            if (order.hasEnded()) {
                onEnded(order);
            }
        }
    }

    private void onEnded(Order order) {
        checkExposure(order);
        boolean done = order.latest.state() == RolloutState.DONE;
        boolean servedBefore = order.latest.elapsedMs() == 0;
        if (done && order.bad && !servedBefore) {
            report.accept("bad version is done: " + order.latest);
        }
        if (done) {
            fleet.checker().checkDrained(order.request.targetVersion());
            fleet.servers().stream()
                    .filter(server -> !order.servers.contains(server))
                    .forEach(VirtualServer::crash);
        } else {
            order.servers.forEach(VirtualServer::crash);
        }
        fleet.time().after(1 + random.nextInt(MAX_ORDER_PAUSE_MS), this::placeOrder);
    }

    private VirtualControlPlane randomReplica() {
        List<VirtualControlPlane> replicas = fleet.replicas();
        return replicas.get(random.nextInt(replicas.size()));
    }

    // ---- requests ----

    /** An edge sends an attempt to a server of a version; returns whether it fails. */
    boolean onAttempt(String version) {
        if (orders.isEmpty()) {
            return false;
        }
        Order running = orders.get(orders.size() - 1);
        if (!running.hasEnded()) {
            running.attempts++;
        }
        Order order = orderByVersion.get(version);
        if (order == null) {
            return false;
        }
        if (order.latest != null && order.latest.state() == RolloutState.DONE) {
            return false;
        }
        order.attemptsAtTarget++;
        boolean faulty = order.bad && fleet.time().getAsLong() >= order.faultyFromMs;
        return faulty && random.nextDouble() < BAD_FAILURE_RATE;
    }

    private void checkExposure(Order order) {
        double allowed =
                VirtualControlPlane.EXPOSURE_SLACK_REQUESTS
                        + VirtualControlPlane.EXPOSURE_SHARE * order.attempts;
        if (order.bad && order.attemptsAtTarget > allowed) {
            report.accept(
                    "bad version got "
                            + order.attemptsAtTarget
                            + " of "
                            + order.attempts
                            + " attempts: "
                            + order.request);
        }
    }

    /** Checks that the last roll-out has ended, once all has been calm for longer than its term. */
    void checkFinalState() {
        if (orders.isEmpty()) {
            return;
        }
        Order last = orders.get(orders.size() - 1);
        if (last.acknowledged && !last.hasEnded()) {
            report.accept("roll-out does not end: " + last.request + ", " + last.latest);
        }
    }
}
