package poppynotch.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Change;
import poppynotch.register.RegisterValue;

/**
 * Decides how the set of acceptors should change: up to enough for the losses that are to be borne,
 * and away from machines that are gone for good. One member changes at a time. It does no I/O.
 */
public final class AcceptorMaintenance {

    /** An acceptor out of contact for so long gives its place to another core process. */
    static final long GONE_MS = 6000;

    /** A core process is fit to be an acceptor while it was in contact within this time. */
    static final long FIT_MS = 1000;

    private final int wanted;

    /** For a deployment that must bear the loss of some machines at once. */
    public AcceptorMaintenance(int toleratedMachines) {
        wanted = 2 * Math.max(1, toleratedMachines) + 1;
    }

    /**
     * The next change of the set, if one is due.
     *
     * @param cores all core processes known
     * @param contactAgeMs time since the last contact with a core process
     */
    public Optional<Change> due(
            AcceptorSet current, List<String> cores, Function<String, Long> contactAgeMs) {
        if (current.isChanging()) {
            return Optional.of(change(current, current.settled()));
        }
        List<String> spares =
                cores.stream()
                        .filter(core -> !current.contains(core))
                        .filter(core -> contactAgeMs.apply(core) <= FIT_MS)
                        .toList();
        if (spares.isEmpty()) {
            return Optional.empty();
        }
        List<String> next = new ArrayList<>(current.members());
        Optional<String> gone =
                current.members().stream()
                        .filter(member -> contactAgeMs.apply(member) > GONE_MS)
                        .findFirst();
        if (gone.isPresent()) {
            next.remove(gone.get());
        } else if (next.size() >= wanted) {
            return Optional.empty();
        }
        next.add(spares.get(0));
        return Optional.of(change(current, current.changingTo(next)));
    }

    private static Change change(AcceptorSet from, AcceptorSet to) {
        return (RegisterValue value) ->
                value.acceptors().equals(from)
                        ? new Change.Decision.Replace(value.withAcceptors(to))
                        : new Change.Decision.Keep();
    }
}
