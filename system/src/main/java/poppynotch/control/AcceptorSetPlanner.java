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
import poppynotch.register.Change;
import poppynotch.register.RegisterValue;

/**
 * Decides how the set of acceptors should change: up to enough for the losses that are to be borne,
 * and away from machines that leave or are gone. One member changes at a time. A newcomer counts
 * for good only once it has the value on disk; one that does not get there is given up. It does no
 * I/O and is told the time.
 */
public class AcceptorSetPlanner {

    /** An acceptor out of contact for so long gives its place to another core process. */
    static final long GONE_MS = 1500;

    /** A core process is fit to be an acceptor while it was in contact within this time. */
    static final long FIT_MS = 1000;

    /** A newcomer that does not have the value on disk after this time is given up. */
    static final long JOIN_LIMIT_MS = 2500;

    /** A newcomer that was given up is not asked again for this time. */
    static final long AVOID_MS = 10_000;

    /**
     * What is known of a core process.
     *
     * @param contactAgeMs time since the last contact with it
     * @param kept the ballot of the newest value that it has on disk; zero while it may not vote
     * @param leaving it is about to end
     */
    public record Core(String address, long contactAgeMs, Ballot kept, boolean leaving) {

        private boolean isFit() {
            return !leaving && contactAgeMs <= FIT_MS;
        }
    }

    private final int wanted;
    private final Map<String, Long> avoidUntilMs = new HashMap<>();

    /** The change in progress as first seen, the ballot of its value and the time. */
    private AcceptorSet joining;

    private Ballot joiningBallot = Ballot.ZERO;
    private long joiningSinceMs;

    /** For a deployment that must bear the loss of some machines at once. */
    public AcceptorSetPlanner(int toleratedMachines) {
        wanted = 2 * Math.max(1, toleratedMachines) + 1;
    }

    /**
     * The next change of the set, if one is due.
     *
     * @param held the ballot of the value that the set is from
     * @param cores all core processes known
     */
    public Optional<Change> due(long nowMs, AcceptorSet current, Ballot held, List<Core> cores) {
        avoidUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
        if (current.isChanging()) {
            return complete(nowMs, current, held, cores);
        }
        joining = null;
        Optional<Core> spare = spare(current, cores);
        if (spare.isEmpty()) {
            return Optional.empty();
        }
        List<String> next = new ArrayList<>(current.members());
        Optional<String> replaced = replaced(current, cores);
        if (replaced.isPresent()) {
            next.remove(replaced.get());
        } else if (next.size() >= wanted) {
            return Optional.empty();
        }
        next.add(spare.get().address());
        return Optional.of(change(current, current.changingTo(next)));
    }

    /** The fittest core process that is no acceptor: the one with the newest value on disk. */
    private Optional<Core> spare(AcceptorSet current, List<Core> cores) {
        return cores.stream()
                .filter(core -> !current.contains(core.address()))
                .filter(Core::isFit)
                .filter(core -> !avoidUntilMs.containsKey(core.address()))
                .max(Comparator.comparing(Core::kept));
    }

    /** The member whose place is to be given away: one that leaves, else one that is gone. */
    private static Optional<String> replaced(AcceptorSet current, List<Core> cores) {
        return cores.stream()
                .filter(core -> current.members().contains(core.address()))
                .filter(core -> core.leaving() || core.contactAgeMs() > GONE_MS)
                .max(Comparator.comparing(Core::leaving))
                .map(Core::address);
    }

    /** Ends the change in progress, one way or the other. */
    private Optional<Change> complete(
            long nowMs, AcceptorSet current, Ballot held, List<Core> cores) {
        if (!current.equals(joining)) {
            joining = current;
            joiningBallot = held;
            joiningSinceMs = nowMs;
        }
        Set<String> newcomers =
                current.members().stream()
                        .filter(member -> !current.former().contains(member))
                        .collect(Collectors.toSet());
        boolean hold =
                cores.stream()
                                .filter(core -> newcomers.contains(core.address()))
                                .filter(Core::isFit)
                                .filter(core -> core.kept().compareTo(joiningBallot) >= 0)
                                .count()
                        == newcomers.size();
        if (hold) {
            return Optional.of(change(current, current.settled()));
        }
        if (nowMs - joiningSinceMs < JOIN_LIMIT_MS) {
            return Optional.empty();
        }
        newcomers.forEach(newcomer -> avoidUntilMs.put(newcomer, nowMs + AVOID_MS));
        return Optional.of(change(current, AcceptorSet.of(current.former())));
    }

    private static Change change(AcceptorSet from, AcceptorSet to) {
        return (RegisterValue value) ->
                value.acceptors().equals(from)
                        ? new Change.Decision.Replace(value.withAcceptors(to))
                        : new Change.Decision.Keep();
    }
}
