package poppynotch.register;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * How a replica that has lost its disk gets its vote back. Others promise it a new round, enough of
 * them to meet every quorum that its lost votes may have been part of; then no older round can be
 * completed with those votes, and whatever was chosen with them is known. It does no I/O.
 */
public final class AcceptorRecovery {

    private static final long ROUND_MS = 500;

    private final String self;
    private final long proposer;
    private final ProposalRound.Port port;
    private final Map<String, RegisterMessage.Promise> promises = new HashMap<>();
    private AcceptorSet acceptors;
    private Ballot ballot;
    private long roundEndsMs;

    /**
     * A recovery of {@code self} by the acceptors known so far; newer sets are found by its rounds.
     */
    public AcceptorRecovery(
            String self,
            AcceptorSet acceptors,
            Ballot highest,
            long proposer,
            ProposalRound.Port port) {
        this.self = self;
        this.acceptors = acceptors;
        this.ballot = highest;
        this.proposer = proposer;
        this.port = port;
    }

    /** Begins a round if the last one has taken too long. */
    public void tick(long nowMs) {
        if (nowMs >= roundEndsMs) {
            roundEndsMs = nowMs + ROUND_MS;
            ballot = ballot.next(proposer);
            promises.clear();
            acceptors.everyone().forEach(this::ask);
        }
    }

    private void ask(String acceptor) {
        if (!acceptor.equals(self)) {
            port.send(acceptor, new RegisterMessage.Prepare(ballot));
        }
    }

    /** An acceptor has answered; the state to go on from, once enough have. */
    public Optional<AcceptorState> on(String from, RegisterMessage vote) {
        if (vote instanceof RegisterMessage.Rejected no) {
            ballot = Ballot.max(ballot, no.promised());
            return Optional.empty();
        }
        if (!(vote instanceof RegisterMessage.Promise promise)
                || !promise.ballot().equals(ballot)) {
            return Optional.empty();
        }
        promises.put(from, promise);
        return weigh();
    }

    private Optional<AcceptorState> weigh() {
        if (!acceptors.coversQuorumsOf(self, promises.keySet())) {
            return Optional.empty();
        }
        RegisterMessage.Promise newest =
                promises.values().stream()
                        .max((a, b) -> a.accepted().compareTo(b.accepted()))
                        .orElseThrow();
        AcceptorSet deciding = newest.value().acceptors();
        if (!deciding.equals(acceptors)) {
            // Those asked know of a set that has followed the one known so far.
            acceptors = deciding;
            deciding.everyone().stream()
                    .filter(acceptor -> !promises.containsKey(acceptor))
                    .forEach(this::ask);
            return weigh();
        }
        return Optional.of(new AcceptorState(ballot, newest.accepted(), newest.value()));
    }
}
