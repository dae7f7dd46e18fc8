package poppynotch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import poppynotch.register.AppliedChange;
import poppynotch.register.RegisterValue;

/**
 * Checks a fleet some time after the last fault of a run has ended: all processes must know the
 * newest value, the acceptor set must be complete, and the history of changes must agree with the
 * results that operators received. Used once, by {@link InvariantChecker}.
 */
final class FinalStateChecker {

    private final SimulatedFleet fleet;
    private final Set<Long> observedGenerations;
    private final Consumer<String> report;

    /**
     * Creates a check.
     *
     * @param observedGenerations generations that an edge had in force or an operator read
     * @param report receives each violation
     */
    FinalStateChecker(
            SimulatedFleet fleet, Set<Long> observedGenerations, Consumer<String> report) {
        this.fleet = fleet;
        this.observedGenerations = observedGenerations;
        this.report = report;
    }

    void check() {
        List<RegisterValue> knownValues = new ArrayList<>();
        for (VirtualControlPlane replica : fleet.replicas()) {
            replica.node().chosenValue().ifPresent(chosen -> knownValues.add(chosen.value()));
            if (replica.node().chosenValue().isEmpty() || replica.node().isQuorumLeaseExpired()) {
                report.accept(replica.name() + " has not come back");
                return;
            }
        }
        RegisterValue newest = knownValues.get(0);
        if (knownValues.stream().anyMatch(value -> !value.equals(newest))) {
            report.accept("core processes know different values: " + knownValues);
            return;
        }
        for (VirtualEdge edge : fleet.edges()) {
            if (edge.generation() != newest.generation()) {
                report.accept(edge.name() + " does not have the newest version");
            }
        }
        checkAcceptors(newest);
        checkHistory(newest);
    }

    private void checkAcceptors(RegisterValue newest) {
        int expectedMembers = Math.min(2 * fleet.toleratedLosses() + 1, fleet.replicas().size());
        boolean allExist =
                newest.acceptors().voters().stream()
                        .allMatch(acceptor -> fleet.replica(acceptor).isPresent());
        if (newest.acceptors().isChanging()
                || newest.acceptors().members().size() < expectedMembers
                || !allExist) {
            report.accept("the acceptors at the end are " + newest.acceptors());
        }
    }

    /** Checks that the history agrees with the observed generations and operators' results. */
    private void checkHistory(RegisterValue newest) {
        // The value keeps a bounded history: older changes cannot be checked.
        boolean historyComplete = newest.history().size() < RegisterValue.MAX_HISTORY_LENGTH;
        long oldestGeneration = historyComplete ? 0 : newest.history().get(0).generation();
        Map<Long, Long> generationByDigest = new HashMap<>();
        Map<Long, Long> predecessorByDigest = new HashMap<>();
        long predecessor = oldestGeneration;
        for (AppliedChange applied : newest.history()) {
            generationByDigest.put(applied.digest(), applied.generation());
            predecessorByDigest.put(applied.digest(), predecessor);
            predecessor = applied.generation();
        }
        for (SubmittedChange change : fleet.operator().changes()) {
            if (change.generation() >= oldestGeneration) {
                checkChange(change, predecessorByDigest, oldestGeneration);
            }
        }
        Set<Long> appliedGenerations = new HashSet<>(generationByDigest.values());
        for (long generation : observedGenerations) {
            if (generation >= oldestGeneration && !appliedGenerations.contains(generation)) {
                report.accept(
                        "version " + generation + " was in force and is no part of the history");
            }
        }
    }

    private void checkChange(
            SubmittedChange change, Map<Long, Long> predecessorByDigest, long oldestGeneration) {
        Long predecessor = predecessorByDigest.get(change.digest());
        boolean isApplied = predecessor != null;
        if (change.isAcknowledged() && !isApplied) {
            report.accept("order " + change.content() + " was acknowledged and is lost");
        } else if (change.isRejected() && isApplied) {
            report.accept("order " + change.content() + " was refused and is in force");
        } else if (isApplied
                && change.generation() > oldestGeneration
                && predecessor != change.buildsOn()) {
            report.accept(
                    "order "
                            + change.content()
                            + " for version "
                            + change.buildsOn()
                            + " follows version "
                            + predecessor);
        }
    }
}
