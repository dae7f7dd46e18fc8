package poppynotch.register;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The promises received for one ballot, by acceptor. Owned by one {@link Proposal} or {@link
 * AcceptorRecovery}, which clears it when it begins a round with a new ballot.
 */
final class PromiseTally {

    private static final Comparator<RegisterMessage.Promise> BY_ACCEPTED_BALLOT =
            Comparator.comparing(RegisterMessage.Promise::accepted);

    private final Map<String, RegisterMessage.Promise> promises = new HashMap<>();

    void clear() {
        promises.clear();
    }

    void add(String acceptor, RegisterMessage.Promise promise) {
        promises.put(acceptor, promise);
    }

    /** Addresses of the acceptors that have promised. */
    Set<String> acceptors() {
        return promises.keySet();
    }

    boolean contains(String acceptor) {
        return promises.containsKey(acceptor);
    }

    /** The promise with the highest accepted ballot; there must be at least one promise. */
    RegisterMessage.Promise withHighestAccepted() {
        return promises.values().stream().max(BY_ACCEPTED_BALLOT).orElseThrow();
    }

    /**
     * Whether the value of {@code promise} is known to be chosen: a quorum of the value's own
     * acceptor set accepted it under the same ballot.
     */
    boolean isChosen(RegisterMessage.Promise promise) {
        Set<String> acceptedBy = new HashSet<>();
        promises.forEach(
                (acceptor, other) -> {
                    if (other.accepted().equals(promise.accepted())) {
                        acceptedBy.add(acceptor);
                    }
                });
        return promise.value().acceptors().isQuorum(acceptedBy);
    }
}
