package poppynotch.simulation;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import poppynotch.config.DocumentCodec;
import poppynotch.control.OperatorChangeResult;
import poppynotch.register.RegisterValue;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Checks during a run that what operators, servers and edges observe agrees with the guarantees of
 * the control plane. The values that the replicas store are compared only at the end of a run, by
 * {@link FinalStateChecker}. Only the first violation is recorded.
 */
final class InvariantChecker {

    /** An acknowledged change must be in force at every edge in stable contact after this time. */
    private static final long CONFIG_PROPAGATION_MS = 2000;

    /** Every edge in stable contact must respect an acknowledged drain after this time. */
    private static final long DRAIN_PROPAGATION_MS = 2000;

    /**
     * A replica must have regained its vote within this time after the last fault. This is half of
     * the time for which it counts as lost: the other half is for its process to start and connect.
     */
    private static final long VOTE_RECOVERY_MS = FaultSchedule.CATCH_UP_MS / 2;

    /** An edge is in stable contact if no fault began or ended within this time. */
    private static final long STABLE_CONTACT_MS = 3000;

    /** An edge that started within this time may not have reported on a rollout yet. */
    private static final long ROLLOUT_CONTACT_MS = 9000;

    private final SimulatedFleet fleet;
    private Optional<String> finding = Optional.empty();
    private long lastFaultMs;

    private final AcceptorSetHistory acceptorSets = new AcceptorSetHistory();

    /** Content of each generation that an edge had in force or an operator read. */
    private final Map<Long, String> contentByGeneration = new TreeMap<>();

    InvariantChecker(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** The first violation; empty if there was none. */
    Optional<String> finding() {
        return finding;
    }

    private void report(String violation) {
        if (finding.isEmpty()) {
            finding = Optional.of("at " + fleet.time().getAsLong() + " ms: " + violation);
        }
    }

    /** Called when a fault begins or ends: contact is not stable for some time afterwards. */
    void onFault() {
        lastFaultMs = fleet.time().getAsLong();
    }

    // ---- what operators, edges and the probe observe ----

    /** An operator has received the result of a change. */
    void onChangeResult(SubmittedChange change, OperatorChangeResult result) {
        if (!change.recordResult(fleet.time().getAsLong(), result)) {
            report("order " + change.content() + " was taken, and was refused: " + result);
        }
    }

    /** An operator has read the configuration, by a request sent at {@code sentMs}. */
    void onConfigRead(long sentMs, byte[] json) {
        String content = new String(json, StandardCharsets.UTF_8);
        long generation = generationOf(content);
        long newest = fleet.operator().newestAcknowledgedGeneration(sentMs);
        if (generation < newest) {
            report("a read gave version " + generation + " after " + newest + " was acknowledged");
        }
        recordContent(generation, content);
    }

    /** An edge puts a configuration in force; {@code previous} is null for its first one. */
    void onEdgeConfigured(VirtualEdge edge, RegisterValue previous, RegisterValue value) {
        if (previous != null && value.generation() < previous.generation()) {
            report(edge.name() + " went back to version " + value.generation());
        }
        recordContent(value.generation(), contentOf(value));
    }

    /** The control plane has confirmed the edge's configuration as current up to a time. */
    void onEdgeConfirmed(VirtualEdge edge, long upToMs) {
        onConfirmed(edge.name(), edge.generation(), upToMs);
    }

    /** A replica or edge has been confirmed to have had the newest generation up to a time. */
    void onConfirmed(String holder, long generation, long upToMs) {
        long newest = fleet.operator().newestAcknowledgedGeneration(upToMs);
        if (generation < newest) {
            report(
                    holder
                            + " has version "
                            + generation
                            + ", vouched for up to "
                            + upToMs
                            + ", when "
                            + newest
                            + " was acknowledged");
        }
    }

    private void recordContent(long generation, String content) {
        String other = contentByGeneration.putIfAbsent(generation, content);
        if (other != null && !other.equals(content)) {
            report("version " + generation + " is " + other + " and " + content);
        }
    }

    private static String contentOf(RegisterValue value) {
        return new String(DocumentCodec.decode(value.document()), StandardCharsets.UTF_8);
    }

    /** Parses the generation, which is the first member of every document of a simulation. */
    private static long generationOf(String json) {
        int from = json.indexOf(':') + 1;
        return Long.parseLong(json.substring(from, json.indexOf(',')));
    }

    // ---- periodic checks ----

    /** Checks the acceptor sets of the values that the replicas know to be chosen. */
    void checkAcceptorSets() {
        for (VirtualControlPlane replica : fleet.replicas()) {
            if (replica.isUp()) {
                replica.node()
                        .chosenValue()
                        .flatMap(chosen -> acceptorSets.record(chosen.value()))
                        .ifPresent(this::report);
            }
        }
    }

    /** Checks that every replica has its vote, unless a fault or start was recent. */
    void checkVotes() {
        long lastStartMs =
                fleet.replicas().stream().mapToLong(VirtualProcess::startedMs).max().orElse(0);
        long stableForMs = fleet.time().getAsLong() - Math.max(lastFaultMs, lastStartMs);
        if (stableForMs <= VOTE_RECOVERY_MS || !areAllReplicasConnected()) {
            return;
        }
        for (VirtualControlPlane replica : fleet.replicas()) {
            if (!replica.node().mayVote()) {
                report(
                        replica.name()
                                + " has no vote "
                                + stableForMs
                                + " ms after the last fault or start");
            }
        }
    }

    private boolean areAllReplicasConnected() {
        return areAllReplicasRunning()
                && fleet.replicas().stream()
                        .allMatch(replica -> reachableReplicas(replica) == fleet.replicas().size());
    }

    private boolean areAllReplicasRunning() {
        return fleet.replicas().stream().allMatch(replica -> replica.isUp() && !replica.isFrozen());
    }

    /** Checks the edges that are in stable contact with the control plane. */
    void checkEdges() {
        long nowMs = fleet.time().getAsLong();
        if (nowMs - lastFaultMs <= STABLE_CONTACT_MS || !isControlPlaneStable()) {
            return;
        }
        long minGeneration =
                fleet.operator().newestAcknowledgedGeneration(nowMs - CONFIG_PROPAGATION_MS);
        Set<String> leavingServers = new HashSet<>();
        for (VirtualServer server : fleet.servers()) {
            if (server.acknowledgedMs() < nowMs - DRAIN_PROPAGATION_MS) {
                leavingServers.add(server.id());
            }
        }
        for (VirtualEdge edge : fleet.edges()) {
            if (edge.isUp() && reachesAllReplicas(edge)) {
                checkEdge(edge, minGeneration, leavingServers);
            }
        }
    }

    /**
     * Whether all replicas run and one of them reaches a majority with writable disks: without one
     * the replicas can neither choose a value nor learn which one was chosen.
     */
    private boolean isControlPlaneStable() {
        int count = fleet.replicas().size();
        return areAllReplicasRunning()
                && fleet.replicas().stream()
                        .anyMatch(replica -> 2 * reachableReplicas(replica) > count);
    }

    /** How many replicas with a writable disk {@code replica} reaches, itself included. */
    private long reachableReplicas(VirtualControlPlane replica) {
        return fleet.replicas().stream()
                .filter(other -> other.disk().takesWrites())
                .filter(
                        other ->
                                other == replica
                                        || fleet.network().isOpen(replica.name(), other.name()))
                .count();
    }

    private boolean reachesAllReplicas(VirtualEdge edge) {
        return fleet.replicas().stream()
                .allMatch(replica -> fleet.network().isOpen(edge.name(), replica.name()));
    }

    private void checkEdge(VirtualEdge edge, long minGeneration, Set<String> leavingServers) {
        if (edge.generation() < minGeneration) {
            report(
                    edge.name()
                            + " is in touch and has version "
                            + edge.generation()
                            + ", not "
                            + minGeneration);
        }
        for (ServerRecord server : edge.servers()) {
            if (server.state() == ServerState.READY && leavingServers.contains(server.id())) {
                report(edge.name() + " is in touch and sends to " + server.id() + ", which drains");
            }
        }
    }

    // ---- rollouts ----

    /** Reports a violation of a guarantee of rollouts. */
    void reportRollout(String violation) {
        report(violation);
    }

    /** Checks that edges in stable contact have no attempts in flight at replaced versions. */
    void checkDrained(String servingVersion) {
        long nowMs = fleet.time().getAsLong();
        if (nowMs - lastFaultMs <= ROLLOUT_CONTACT_MS || !isControlPlaneStable()) {
            return;
        }
        for (VirtualEdge edge : fleet.edges()) {
            int left = edge.isUp() ? edge.inFlightAtOthers(servingVersion) : 0;
            if (left > 0 && reachesAllReplicas(edge)) {
                report(
                        edge.name()
                                + " has "
                                + left
                                + " attempts in flight at old servers when version "
                                + servingVersion
                                + " is done");
            }
        }
    }

    // ---- the end of a run ----

    /** Checks that the fleet has recovered, and that no acknowledged change was lost. */
    void checkFinalState() {
        fleet.rollouts().ifPresent(VirtualRollouts::checkFinalState);
        new FinalStateChecker(fleet, contentByGeneration.keySet(), this::report).check();
    }
}
