package poppynotch.simulation;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import poppynotch.register.AcceptorSet;
import poppynotch.register.RegisterValue;

/**
 * The acceptor sets that replicas knew to be chosen, by epoch. Each epoch must have one set that is
 * a valid successor of the previous one: a change begins from a complete set, and ends with the new
 * members or the former ones. Owned by {@link InvariantChecker}.
 */
final class AcceptorSetHistory {

    private final Map<Long, AcceptorSet> setByEpoch = new TreeMap<>();

    /** Records the set of a chosen value; returns the violation if there is one. */
    Optional<String> record(RegisterValue chosen) {
        long epoch = chosen.acceptorEpoch();
        AcceptorSet set = chosen.acceptors();
        AcceptorSet known = setByEpoch.putIfAbsent(epoch, set);
        if (known != null) {
            return known.equals(set)
                    ? Optional.empty()
                    : Optional.of("acceptor epoch " + epoch + " is " + known + " and " + set);
        }
        return follows(setByEpoch.get(epoch - 1), set) && follows(set, setByEpoch.get(epoch + 1))
                ? Optional.empty()
                : Optional.of("acceptor epoch " + epoch + " does not follow: " + setByEpoch);
    }

    /** Whether a set may follow another one; either is null if it is not known. */
    private static boolean follows(AcceptorSet before, AcceptorSet after) {
        if (before == null || after == null) {
            return true;
        }
        if (after.isChanging()) {
            return !before.isChanging() && after.former().equals(before.members());
        }
        return before.isChanging()
                && (after.members().equals(before.members())
                        || after.members().equals(before.former()));
    }
}
