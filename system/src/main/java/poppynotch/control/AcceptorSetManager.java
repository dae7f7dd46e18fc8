package poppynotch.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.Change;

/**
 * Carries out what {@link AcceptorSetPlanner} finds due, where this process holds that role, and
 * hands this process's own place among the acceptors on before it ends. Two processes that act at
 * once do no harm: each change names the set that it starts from, and the register refuses it on
 * any other. It does no I/O and is told the time.
 */
final class AcceptorSetManager {

    private static final Logger LOG = LoggerFactory.getLogger(AcceptorSetManager.class);

    private static final long INTERVAL_MS = 200;
    private static final long CHANGE_LIMIT_MS = 1500;

    /** A core process counts as leaving for so long after it has said so. */
    private static final long LEAVING_MS = 10_000;

    private final String self;
    private final RegisterReplica register;
    private final PeerNetwork peers;
    private final QuorumContact contact;
    private final RoleElection election;
    private final AcceptorSetPlanner maintenance;
    private final BooleanSupplier fenced;
    private final Map<String, Long> leavingSinceMs = new HashMap<>();
    private boolean leaves;
    private boolean changing;
    private long nextMs;

    AcceptorSetManager(
            String self,
            AcceptorSetPlanner maintenance,
            RegisterReplica register,
            PeerNetwork peers,
            QuorumContact contact,
            RoleElection election,
            BooleanSupplier fenced) {
        this.self = self;
        this.register = register;
        this.peers = peers;
        this.contact = contact;
        this.election = election;
        this.fenced = fenced;
        this.maintenance = maintenance;
    }

    /** This process is about to end. */
    void leave() {
        leaves = true;
        nextMs = 0;
    }

    boolean isLeaving() {
        return leaves;
    }

    /** Whether this process may end without taking an acceptor away that has a successor. */
    boolean mayEnd(long nowMs) {
        AcceptorSet current = register.acceptors();
        boolean settled = !current.contains(self);
        boolean hopeless = !hasSpare(nowMs, current) && !current.isChanging();
        return settled || hopeless || !register.mayVote();
    }

    private boolean hasSpare(long nowMs, AcceptorSet current) {
        return cores(nowMs).stream()
                .anyMatch(
                        core ->
                                !current.contains(core.address())
                                        && !core.leaving()
                                        && core.contactAgeMs() <= AcceptorSetPlanner.FIT_MS);
    }

    /** A core process tells whether it is about to end. */
    void told(long nowMs, String core, boolean leaving) {
        if (leaving) {
            leavingSinceMs.put(core, nowMs);
        } else {
            leavingSinceMs.remove(core);
        }
    }

    /** Time has passed. */
    void tick(long nowMs) {
        election.tick(nowMs);
        if (nowMs < nextMs) {
            return;
        }
        nextMs = nowMs + INTERVAL_MS;
        leavingSinceMs.values().removeIf(sinceMs -> nowMs - sinceMs > LEAVING_MS);
        boolean acts = leaves || election.isHolder(nowMs);
        if (acts && !fenced.getAsBoolean() && !changing && register.chosen().isPresent()) {
            maintain(nowMs);
        }
    }

    private void maintain(long nowMs) {
        Ballot held = register.chosen().map(RegisterReplica.Chosen::ballot).orElse(Ballot.ZERO);
        Optional<Change> due = maintenance.due(nowMs, register.acceptors(), held, cores(nowMs));
        due.ifPresent(
                change -> {
                    changing = true;
                    register.submit(
                            nowMs,
                            change,
                            nowMs + CHANGE_LIMIT_MS,
                            outcome -> {
                                changing = false;
                                // The next step, if there is one, is due as soon as this one ends.
                                nextMs = 0;
                                LOG.info("the set of acceptors: {}", register.acceptors());
                            });
                });
    }

    private List<AcceptorSetPlanner.Core> cores(long nowMs) {
        return peers.known().stream()
                .map(
                        core ->
                                core.equals(self)
                                        ? new AcceptorSetPlanner.Core(
                                                core, 0, register.kept(), leaves)
                                        : new AcceptorSetPlanner.Core(
                                                core,
                                                contact.ageMs(nowMs, core),
                                                contact.kept(core),
                                                leavingSinceMs.containsKey(core)))
                .toList();
    }
}
