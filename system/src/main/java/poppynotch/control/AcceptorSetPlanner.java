package poppynotch.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;
import poppynotch.register.RegisterValue;

/**
 * The policy by which the acceptor set changes: it grows to enough acceptors for the number of
 * simultaneous failures to be tolerated, and replaces acceptors that leave or are unreachable. One
 * member changes at a time. A joining member becomes a full one only once it has the value on disk;
 * one that does not get there in time is removed again.
 *
 * <p>Used by {@link AcceptorSetManager} and called from its thread; time is passed in. It keeps
 * only the change in progress and the members that failed to join.
 */
public class AcceptorSetPlanner {

    /** An acceptor out of contact for longer than this is replaced. */
    static final long UNREACHABLE_AFTER_MS = 1500;

    /** A replica may become an acceptor while its last contact is no older than this. */
    static final long MAX_CONTACT_AGE_MS = 1000;

    /** A joining member that does not have the value on disk after this time is removed again. */
    static final long JOIN_TIMEOUT_MS = 2500;

    /** A replica that failed to join is not a candidate again for this time. */
    static final long REJOIN_BACKOFF_MS = 10_000;

    /**
     * The state of a control-plane replica, as far as known.
     *
     * @param address its control address, {@code HOST:PORT}
     * @param contactAgeMs time since the last contact with it
     * @param persistedBallot the ballot of the newest value that it has on disk; zero while it may
     *     not vote
     * @param leaving whether its process is about to end
     */
    public record ReplicaStatus(
            String address, long contactAgeMs, Ballot persistedBallot, boolean leaving) {

        /** Whether it may become an acceptor: it is in contact and not leaving. */
        boolean isEligible() {
            return !leaving && contactAgeMs <= MAX_CONTACT_AGE_MS;
        }
    }

    private final int toleratedLosses;
    private final int targetSize;

    /** For each replica that failed to join, until when it is not a candidate. */
    private final Map<String, Long> backoffUntilMs = new HashMap<>();

    /** The set of the change in progress as first seen; null while none is in progress. */
    private AcceptorSet joiningSet;

    /** The ballot of the value that started the change in progress. */
    private Ballot joiningBallot = Ballot.ZERO;

    private long joiningSinceMs;

    /**
     * Creates a planner.
     *
     * @param toleratedMachines how many machines may fail at once; at least one is assumed
     */
    public AcceptorSetPlanner(int toleratedMachines) {
        toleratedLosses = Math.max(1, toleratedMachines);
        targetSize = 2 * toleratedLosses + 1;
    }

    /** How many acceptors may fail at once. */
    public int toleratedLosses() {
        return toleratedLosses;
    }

    /**
     * The next change of the acceptor set, if one is necessary.
     *
     * @param value the newest value that is known to be chosen, whose set may change
     * @param valueBallot the ballot of that value
     * @param replicas all control-plane replicas that are known
     */
    public Optional<ChangeFunction> nextChange(
            long nowMs, RegisterValue value, Ballot valueBallot, List<ReplicaStatus> replicas) {
        return nextSet(nowMs, value.acceptors(), valueBallot, replicas)
                .map(next -> changeOf(value, next));
    }

    private Optional<AcceptorSet> nextSet(
            long nowMs, AcceptorSet current, Ballot valueBallot, List<ReplicaStatus> replicas) {
        backoffUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
        if (current.isChanging()) {
            return endJoin(nowMs, current, valueBallot, replicas);
        }
        joiningSet = null;
        Optional<ReplicaStatus> candidate = candidate(current, replicas);
        if (candidate.isEmpty()) {
            return Optional.empty();
        }
        List<String> next = new ArrayList<>(current.members());
        Optional<String> replaced = memberToReplace(current, replicas);
        if (replaced.isPresent()) {
            next.remove(replaced.get());
        } else if (next.size() >= targetSize) {
            return Optional.empty();
        }
        next.add(candidate.get().address());
        return Optional.of(current.changingTo(next));
    }

    /** The eligible replica with the newest value on disk that is not an acceptor. */
    private Optional<ReplicaStatus> candidate(AcceptorSet current, List<ReplicaStatus> replicas) {
        return replicas.stream()
                .filter(replica -> !current.contains(replica.address()))
                .filter(ReplicaStatus::isEligible)
                .filter(replica -> !backoffUntilMs.containsKey(replica.address()))
                .max(Comparator.comparing(ReplicaStatus::persistedBallot));
    }

    /** The member to be replaced: one that is leaving, else one that is unreachable. */
    private static Optional<String> memberToReplace(
            AcceptorSet current, List<ReplicaStatus> replicas) {
        return replicas.stream()
                .filter(replica -> current.members().contains(replica.address()))
                .filter(
                        replica ->
                                replica.leaving() || replica.contactAgeMs() > UNREACHABLE_AFTER_MS)
                .max(Comparator.comparing(ReplicaStatus::leaving))
                .map(ReplicaStatus::address);
    }

    /** Completes the change in progress once the joining members are ready, or times it out. */
    private Optional<AcceptorSet> endJoin(
            long nowMs, AcceptorSet current, Ballot valueBallot, List<ReplicaStatus> replicas) {
        if (!current.equals(joiningSet)) {
            joiningSet = current;
            joiningBallot = valueBallot;
            joiningSinceMs = nowMs;
        }
        Set<String> joining =
                current.members().stream()
                        .filter(member -> !current.former().contains(member))
                        .collect(Collectors.toSet());
        if (allHaveValueOnDisk(joining, replicas)) {
            return Optional.of(current.withChangeCompleted());
        }
        if (nowMs - joiningSinceMs < JOIN_TIMEOUT_MS) {
            return Optional.empty();
        }
        joining.forEach(member -> backoffUntilMs.put(member, nowMs + REJOIN_BACKOFF_MS));
        return Optional.of(AcceptorSet.of(current.former()));
    }

    private boolean allHaveValueOnDisk(Set<String> joining, List<ReplicaStatus> replicas) {
        long ready =
                replicas.stream()
                        .filter(replica -> joining.contains(replica.address()))
                        .filter(ReplicaStatus::isEligible)
                        .filter(replica -> replica.persistedBallot().compareTo(joiningBallot) >= 0)
                        .count();
        return ready == joining.size();
    }

    /**
     * A change that does nothing unless the register still has the set that it starts from, in the
     * same epoch: a set that was replaced and restored in between has another epoch.
     */
    private static ChangeFunction changeOf(RegisterValue from, AcceptorSet to) {
        return (RegisterValue value) ->
                value.acceptors().equals(from.acceptors())
                                && value.acceptorEpoch() == from.acceptorEpoch()
                        ? new ChangeFunction.Decision.Replace(value.withAcceptors(to))
                        : new ChangeFunction.Decision.Keep();
    }
}
