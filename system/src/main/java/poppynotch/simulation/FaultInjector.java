package poppynotch.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.control.ControlPlaneNode;

/**
 * Injects the faults of a schedule into a {@link SimulatedFleet}, at their times of the fleet's
 * virtual clock. The checker is notified when a fault begins and when it ends.
 */
final class FaultInjector {

    /** The name of operators and servers on the virtual network. */
    static final String EXTERNAL_CALLERS = "outside";

    private static final long SHUTDOWN_TIMEOUT_MS = 2500;
    private static final long SHUTDOWN_CHECK_INTERVAL_MS = 50;
    private static final long RESTART_DELAY_MS = 300;

    /** How long the up-to-date replicas stay down in a fault of kind BEHIND. */
    private static final long OTHERS_DOWNTIME_MS = 3000;

    private static final int SEED_COUNT = 3;

    /** The time from the start of a replica's process until it takes part in the protocol. */
    private static final long MIN_STARTUP_MS = 400;

    private static final int STARTUP_JITTER_MS = 600;

    /** Period of the CPU quota; {@link #MIN_QUOTA_MS} is the minimum run time per period. */
    private static final long QUOTA_PERIOD_MS = 100;

    private static final long MIN_QUOTA_MS = 8;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;

    /** Replica names by the target of a fault; a successor gets the target of its predecessor. */
    private final String[] replicaByTarget;

    FaultInjector(SimulatedFleet fleet, long seed) {
        this.fleet = fleet;
        random = new SplittableRandom(seed + 1);
        replicaByTarget =
                fleet.replicas().stream().map(VirtualControlPlane::name).toArray(String[]::new);
    }

    /** Schedules the faults on the virtual clock. */
    void start(List<FaultInjection> faults) {
        faults.forEach(fault -> fleet.time().at(fault.startMs(), () -> inject(fault)));
    }

    private void inject(FaultInjection fault) {
        fleet.checker().onFault();
        if (fault.kind().affectsOneReplica()) {
            fleet.replica(replicaByTarget[fault.target()])
                    .ifPresent(replica -> injectIntoReplica(fault, replica));
        } else {
            injectIntoFleet(fault);
        }
    }

    private void endAfter(long durationMs, Runnable end) {
        fleet.time()
                .after(
                        durationMs,
                        () -> {
                            fleet.checker().onFault();
                            end.run();
                        });
    }

    // ---- faults of one replica ----

    private void injectIntoReplica(FaultInjection fault, VirtualControlPlane replica) {
        long durationMs = fault.durationMs();
        switch (fault.kind()) {
            case CUT_CORE, CUT_ALL, CUT_OUT, CUT_IN -> partitionReplica(fault, replica);
            case FREEZE -> {
                replica.freeze();
                endAfter(durationMs, replica::resume);
            }
            case KILL -> restart(replica, durationMs);
            case WIPE -> wipe(replica, durationMs);
            case DISK_SLOW -> degradeDisk(replica, VirtualDisk.Condition.SLOW, durationMs);
            case DISK_STALL -> degradeDisk(replica, VirtualDisk.Condition.STALLED, durationMs);
            case DISK_FULL -> degradeDisk(replica, VirtualDisk.Condition.FULL, durationMs);
            case REPLACE -> {
                fleet.removeReplica(replica.name());
                endAfter(durationMs, () -> addSuccessor(fault.target()));
            }
            case REPLACE_PLANNED -> {
                addSuccessor(fault.target());
                endAfter(
                        durationMs,
                        () -> shutDown(replica, () -> fleet.removeReplica(replica.name())));
            }
            case SERVER_ENDS_THEN_KILL -> {
                killAtNextAcknowledgement(durationMs, VirtualServer.class);
                replaceReadyServer(fault.target()).announceShutdown();
            }
            case ORDER_THEN_KILL -> killAtNextAcknowledgement(durationMs, VirtualOperator.class);
            case TERMINATE -> shutDown(replica, () -> restart(replica, RESTART_DELAY_MS));
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private void partitionReplica(FaultInjection fault, VirtualControlPlane replica) {
        List<String> others = otherReplicas(replica);
        NetworkPartition.Direction direction =
                switch (fault.kind()) {
                    case CUT_OUT -> NetworkPartition.Direction.NEAR_TO_FAR;
                    case CUT_IN -> NetworkPartition.Direction.FAR_TO_NEAR;
                    default -> NetworkPartition.Direction.BOTH;
                };
        if (fault.kind() == FaultInjection.Kind.CUT_ALL) {
            others.add(EXTERNAL_CALLERS);
            fleet.edges().forEach(edge -> others.add(edge.name()));
        }
        partition(List.of(replica.name()), others, direction, fault.durationMs());
    }

    private List<String> otherReplicas(VirtualControlPlane replica) {
        List<String> others = new ArrayList<>(replicaNames());
        others.remove(replica.name());
        return others;
    }

    private List<String> replicaNames() {
        return fleet.replicas().stream().map(VirtualControlPlane::name).toList();
    }

    private void partition(
            List<String> near,
            List<String> far,
            NetworkPartition.Direction direction,
            long durationMs) {
        NetworkPartition partition = new NetworkPartition(fleet.network(), near, far, direction);
        partition.start();
        endAfter(durationMs, partition::heal);
    }

    private void restart(VirtualControlPlane replica, long downtimeMs) {
        replica.kill();
        endAfter(downtimeMs, replica::start);
    }

    private void wipe(VirtualControlPlane replica, long downtimeMs) {
        replica.kill();
        replica.disk().wipe();
        endAfter(downtimeMs, replica::start);
    }

    private void degradeDisk(
            VirtualControlPlane replica, VirtualDisk.Condition condition, long durationMs) {
        replica.disk().setCondition(condition);
        endAfter(durationMs, () -> replica.disk().setCondition(VirtualDisk.Condition.GOOD));
    }

    private void addSuccessor(int target) {
        replicaByTarget[target] = fleet.addReplica(seeds(), false).name();
    }

    private List<String> seeds() {
        return replicaNames().stream().limit(SEED_COUNT).toList();
    }

    /**
     * Kills the replica that acknowledges the next call of {@code caller}, immediately after the
     * acknowledgement. The fault is disarmed if there is none in time.
     */
    private void killAtNextAcknowledgement(long downtimeMs, Class<?> caller) {
        armAtNextAcknowledgement(caller, replica -> restart(replica, downtimeMs));
    }

    /** Arms a fault for the next acknowledgement; it is disarmed if there is none in time. */
    private void armAtNextAcknowledgement(Class<?> caller, Consumer<VirtualControlPlane> fault) {
        fleet.armFaultAtNextAcknowledgement(
                caller,
                replica -> {
                    fleet.checker().onFault();
                    fault.accept(replica);
                });
        fleet.time()
                .after(
                        FaultSchedule.ARMED_TIMEOUT_MS,
                        () -> fleet.armFaultAtNextAcknowledgement(caller, replica -> {}));
    }

    /**
     * Shuts a replica down gracefully, as the real process does: {@code end} runs once it has left
     * the acceptor set, or after {@link #SHUTDOWN_TIMEOUT_MS}.
     */
    private void shutDown(VirtualControlPlane replica, Runnable end) {
        if (!replica.isUp()) {
            end.run();
            return;
        }
        replica.run(replica.node()::startLeaving);
        long deadlineMs = fleet.time().getAsLong() + SHUTDOWN_TIMEOUT_MS;
        fleet.time()
                .after(
                        ControlPlaneNode.HEARTBEAT_INTERVAL_MS + SHUTDOWN_CHECK_INTERVAL_MS,
                        () -> awaitShutdown(replica, deadlineMs, end));
    }

    private void awaitShutdown(VirtualControlPlane replica, long deadlineMs, Runnable end) {
        boolean timedOut = fleet.time().getAsLong() >= deadlineMs;
        if (!replica.isUp() || replica.node().mayShutDown() || timedOut) {
            fleet.checker().onFault();
            end.run();
        } else {
            fleet.time()
                    .after(
                            SHUTDOWN_CHECK_INTERVAL_MS,
                            () -> awaitShutdown(replica, deadlineMs, end));
        }
    }

    // ---- faults of many replicas, of edges and of servers ----

    private void injectIntoFleet(FaultInjection fault) {
        switch (fault.kind()) {
            case SPLIT -> splitReplicas(fault.durationMs());
            case KILL_ALL -> fleet.replicas().forEach(this::restartAfterRandomDowntime);
            case BEHIND -> restartWithOutdatedReplicas(fault);
            case EDGE_KILL, EDGE_CUT, EDGE_FREEZE -> injectIntoEdge(fault);
            case DRAIN -> replaceReadyServer(fault.target()).drain();
            case SERVER_ENDS -> replaceReadyServer(fault.target()).announceShutdown();
            case SERVER_LEAVES_THEN_KILL_ALL, SERVER_LEAVES_THEN_WIPE_AND_POWER_LOSS ->
                    loseReplicasAtDeparture(fault);
            case STORM -> fleet.operator().startStorm(fault.durationMs());
            case ROLLOUTS -> fleet.startRollouts();
            case FLOOD -> fleet.operator().startFlood(fault.durationMs());
            case WIPE_AND_POWER_LOSS -> wipeSomeAndPowerOff(List.of());
            case ORDER_THEN_WIPE_AND_POWER_LOSS ->
                    armAtNextAcknowledgement(
                            VirtualOperator.class,
                            replica -> wipeSomeAndPowerOff(List.of(replica)));
            case KILL_MANY ->
                    randomReplicas()
                            .forEach(
                                    replica ->
                                            restart(
                                                    replica,
                                                    1 + random.nextInt((int) fault.durationMs())));
            case FREEZE_MANY -> freezeAll(randomReplicas(), fault.durationMs());
            case DISK_FULL_MANY ->
                    randomReplicas()
                            .forEach(
                                    replica ->
                                            degradeDisk(
                                                    replica,
                                                    VirtualDisk.Condition.FULL,
                                                    fault.durationMs()));
            case THROTTLE -> throttleUntil(fleet.time().getAsLong() + fault.durationMs());
            default -> throw new IllegalStateException(fault.toString());
        }
    }

    private void injectIntoEdge(FaultInjection fault) {
        VirtualEdge edge = fleet.edges().get(fault.target() % fleet.edges().size());
        switch (fault.kind()) {
            case EDGE_KILL -> {
                edge.kill();
                edge.seeds(seeds());
                endAfter(fault.durationMs(), edge::start);
            }
            case EDGE_CUT ->
                    partition(
                            List.of(edge.name()),
                            replicaNames(),
                            NetworkPartition.Direction.BOTH,
                            fault.durationMs());
            default -> {
                edge.freeze();
                endAfter(fault.durationMs(), edge::resume);
            }
        }
    }

    private void loseReplicasAtDeparture(FaultInjection fault) {
        boolean losesDisks = fault.kind().losesDisk();
        armAtNextAcknowledgement(
                VirtualServer.class,
                replica -> {
                    if (losesDisks) {
                        wipeSomeAndPowerOff(List.of(replica));
                    } else {
                        powerOffAll(fault.durationMs());
                    }
                });
        startLeaving(fault.target());
    }

    /** A random selection of the replicas, at least one. */
    private List<VirtualControlPlane> randomReplicas() {
        List<VirtualControlPlane> selected = new ArrayList<>(fleet.replicas());
        int count = 1 + random.nextInt(selected.size());
        while (selected.size() > count) {
            selected.remove(random.nextInt(selected.size()));
        }
        return selected;
    }

    private void freezeAll(List<VirtualControlPlane> replicas, long durationMs) {
        replicas.forEach(VirtualProcess::freeze);
        endAfter(durationMs, () -> replicas.forEach(VirtualProcess::resume));
    }

    /**
     * Wipes the disks of as many replicas as are tolerated: those of {@code first}, then random
     * ones among the acceptors or all replicas. All replicas lose power at the same time and
     * restart soon.
     */
    private void wipeSomeAndPowerOff(List<VirtualControlPlane> first) {
        List<VirtualControlPlane> others = new ArrayList<>(fleet.replicas());
        if (random.nextBoolean()) {
            others.removeIf(replica -> !acceptors().contains(replica.name()));
        }
        others.removeAll(first);
        List<VirtualControlPlane> wiped = new ArrayList<>(first);
        while (wiped.size() < fleet.toleratedLosses() && !others.isEmpty()) {
            wiped.add(others.remove(random.nextInt(others.size())));
        }
        if (fleet.operator().newestAcknowledgedGeneration(Long.MAX_VALUE) == 0 && first.isEmpty()) {
            // Before the first acknowledgement the control plane guarantees nothing.
            return;
        }
        fleet.replicas().forEach(this::restartAfterRandomDowntime);
        wiped.forEach(replica -> replica.disk().wipe());
    }

    /** The acceptors of the newest value that a replica knows to be chosen. */
    private Set<String> acceptors() {
        return fleet.replicas().stream()
                .flatMap(replica -> replica.node().chosenValue().stream())
                .max(Comparator.comparingLong(chosen -> chosen.value().revision()))
                .map(chosen -> chosen.value().acceptors().voters())
                .orElse(Set.of());
    }

    /**
     * Lets all replicas and edges run only for a part of each 100 ms, as under a CPU quota of their
     * container.
     */
    private void throttleUntil(long endMs) {
        if (fleet.time().getAsLong() >= endMs) {
            return;
        }
        List<VirtualProcess> processes = new ArrayList<>(fleet.replicas());
        processes.addAll(fleet.edges());
        for (VirtualProcess process : processes) {
            if (process.isUp() && !process.isFrozen()) {
                long runMs = MIN_QUOTA_MS + random.nextInt((int) (QUOTA_PERIOD_MS - MIN_QUOTA_MS));
                pauseAfter(process, runMs, QUOTA_PERIOD_MS - runMs);
            }
        }
        fleet.time().after(QUOTA_PERIOD_MS, () -> throttleUntil(endMs));
    }

    private void pauseAfter(VirtualProcess process, long delayMs, long durationMs) {
        fleet.time()
                .after(
                        delayMs,
                        () -> {
                            if (process.isUp() && !process.isFrozen()) {
                                process.freeze();
                                fleet.time().after(durationMs, process::resume);
                            }
                        });
    }

    /**
     * Kills all replicas and restarts each within a time. The processes take a random time to
     * start, in which they count as running.
     */
    private void powerOffAll(long maxDowntimeMs) {
        for (VirtualControlPlane replica : fleet.replicas()) {
            replica.kill();
            long startupMs = MIN_STARTUP_MS + random.nextInt(STARTUP_JITTER_MS);
            endAfter(
                    1 + random.nextInt((int) maxDowntimeMs),
                    () -> fleet.time().after(startupMs, replica::start));
        }
    }

    /** Lets a ready server drain, or announce its shutdown without a drain. */
    private void startLeaving(int target) {
        VirtualServer server = replaceReadyServer(target);
        if (random.nextBoolean()) {
            server.drain();
        } else {
            server.announceShutdown();
        }
    }

    private void restartAfterRandomDowntime(VirtualControlPlane replica) {
        restart(replica, RESTART_DELAY_MS + random.nextInt((int) RESTART_DELAY_MS));
    }

    /** Selects a server that neither drains nor shuts down, and adds another one in its place. */
    private VirtualServer replaceReadyServer(int target) {
        List<VirtualServer> ready =
                fleet.servers().stream().filter(VirtualServer::isReady).toList();
        fleet.addServer();
        return ready.get(target % ready.size());
    }

    /**
     * Kills and wipes replicas so that the first ones to run again are one that has missed changes
     * and one that has lost its disk.
     */
    private void restartWithOutdatedReplicas(FaultInjection fault) {
        List<VirtualControlPlane> running =
                fleet.replicas().stream().filter(VirtualControlPlane::isUp).toList();
        if (running.size() < 2) {
            return;
        }
        VirtualControlPlane outdated = running.get(fault.target() % running.size());
        VirtualControlPlane wiped = running.get((fault.target() + 1) % running.size());
        partition(
                List.of(outdated.name()),
                otherReplicas(outdated),
                NetworkPartition.Direction.BOTH,
                fault.durationMs());
        fleet.time()
                .after(
                        Math.max(0, fault.durationMs() - RESTART_DELAY_MS),
                        () -> {
                            running.stream()
                                    .filter(replica -> replica != outdated && replica != wiped)
                                    .forEach(replica -> restart(replica, OTHERS_DOWNTIME_MS));
                            wipe(wiped, 2 * RESTART_DELAY_MS);
                        });
    }

    /** Partitions the replicas into two groups, by a hash of their names. */
    private void splitReplicas(long durationMs) {
        List<String> oneHalf =
                replicaNames().stream()
                        .filter(name -> Math.floorMod(name.hashCode(), 2) == 0)
                        .toList();
        List<String> otherHalf =
                replicaNames().stream().filter(name -> !oneHalf.contains(name)).toList();
        partition(oneHalf, otherHalf, NetworkPartition.Direction.BOTH, durationMs);
    }
}
