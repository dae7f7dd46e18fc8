package poppynotch.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.AcceptorSet;
import poppynotch.register.ChangeFunction;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterValue;

/**
 * Applies the changes of the acceptor set that {@link AcceptorSetPlanner} plans, while this replica
 * holds the singleton role, and gives up this replica's own membership of the set before its
 * process ends.
 *
 * <p>Two replicas that act at the same time do no harm: each change has an effect only on the set
 * that it was planned for.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in.
 */
final class AcceptorSetManager {

    private static final Logger LOG = LoggerFactory.getLogger(AcceptorSetManager.class);

    private static final long NOT_STARTED = Long.MIN_VALUE;
    private static final long PLANNING_INTERVAL_MS = 200;
    private static final long CHANGE_TIMEOUT_MS = 1500;

    /** How long a peer counts as leaving after its last heartbeat with the leaving flag. */
    private static final long LEAVING_RETENTION_MS = 10_000;

    private final String self;
    private final RegisterReplica register;
    private final PeerNetwork peers;
    private final QuorumContact contact;
    private final RoleElection election;
    private final AcceptorSetPlanner planner;
    private final BooleanSupplier quorumLeaseExpired;

    /** For each leaving peer, when its last heartbeat with the leaving flag arrived. */
    private final Map<String, Long> leavingHeartbeatMs = new HashMap<>();

    /** The time of the first tick. */
    private long startedMs = NOT_STARTED;

    private boolean leaving;
    private boolean changeInProgress;
    private long nextPlanningMs;

    /**
     * Creates a manager.
     *
     * @param quorumLeaseExpired whether this replica's quorum lease has expired, so that its view
     *     of the set may be old
     */
    AcceptorSetManager(
            String self,
            AcceptorSetPlanner planner,
            RegisterReplica register,
            PeerNetwork peers,
            QuorumContact contact,
            RoleElection election,
            BooleanSupplier quorumLeaseExpired) {
        this.self = self;
        this.register = register;
        this.peers = peers;
        this.contact = contact;
        this.election = election;
        this.quorumLeaseExpired = quorumLeaseExpired;
        this.planner = planner;
    }

    /** Starts to give up this replica's membership, whether or not it holds the role. */
    void startLeaving() {
        leaving = true;
        nextPlanningMs = 0;
    }

    boolean isLeaving() {
        return leaving;
    }

    /**
     * Whether this process may end: it is not an acceptor, may not vote, or there is no replica
     * that could replace it.
     */
    boolean mayShutDown(long nowMs) {
        AcceptorSet current = register.acceptors();
        boolean replaced = !current.contains(self);
        boolean irreplaceable = !hasCandidate(nowMs, current) && !current.isChanging();
        return replaced || irreplaceable || !register.mayVote();
    }

    private boolean hasCandidate(long nowMs, AcceptorSet current) {
        return replicas(nowMs).stream()
                .anyMatch(replica -> !current.contains(replica.address()) && replica.isEligible());
    }

    /** Records the leaving flag of a peer's heartbeat: whether its process is about to end. */
    void onPeerLeaving(long nowMs, String peer, boolean peerIsLeaving) {
        if (peerIsLeaving) {
            leavingHeartbeatMs.put(peer, nowMs);
        } else {
            leavingHeartbeatMs.remove(peer);
        }
    }

    /** Takes part in the election of the role, and starts the next change if one is necessary. */
    void tick(long nowMs) {
        if (startedMs == NOT_STARTED) {
            startedMs = nowMs;
        }
        election.tick(nowMs);
        if (nowMs < nextPlanningMs) {
            return;
        }
        nextPlanningMs = nowMs + PLANNING_INTERVAL_MS;
        leavingHeartbeatMs.values().removeIf(arrivedMs -> nowMs - arrivedMs > LEAVING_RETENTION_MS);
        boolean isResponsible = leaving || election.isHolder(nowMs);
        if (isResponsible
                && !quorumLeaseExpired.getAsBoolean()
                && !changeInProgress
                && register.chosen().isPresent()) {
            startNextChange(nowMs);
        }
    }

    private void startNextChange(long nowMs) {
        RegisterValue before = register.chosen().orElseThrow().value();
        Optional<ChangeFunction> next =
                planner.nextChange(nowMs, before, register.chosenBallot(), replicas(nowMs));
        next.ifPresent(
                change -> {
                    changeInProgress = true;
                    register.submit(
                            nowMs,
                            change,
                            nowMs + CHANGE_TIMEOUT_MS,
                            outcome -> onChangeEnded(before, outcome));
                });
    }

    private void onChangeEnded(RegisterValue before, ProposalOutcome outcome) {
        changeInProgress = false;
        // A change may be one step of several: the next one is planned without delay.
        nextPlanningMs = 0;
        boolean fenced = outcome instanceof ProposalOutcome.Chosen chosen && !chosen.replaced();
        LOG.info(
                "Acceptor set change ended: before={}, beforeEpoch={}, after={}, outcome={}",
                before.acceptors(),
                before.acceptorEpoch(),
                register.acceptors(),
                fenced ? "Fenced" : outcome.getClass().getSimpleName());
    }

    private List<AcceptorSetPlanner.ReplicaStatus> replicas(long nowMs) {
        return peers.knownReplicas().stream().map(address -> replica(nowMs, address)).toList();
    }

    /**
     * Time since the last contact with a peer. A peer that has not replied since this process
     * started may be starting too: it is not eligible as an acceptor, but counts as unreachable
     * only after the same time as any other peer.
     */
    private long contactAgeMs(long nowMs, String peer) {
        long ageMs = contact.contactAgeMs(nowMs, peer);
        long runningForMs = nowMs - startedMs;
        return ageMs <= runningForMs
                ? ageMs
                : Math.max(AcceptorSetPlanner.MAX_CONTACT_AGE_MS + 1, runningForMs);
    }

    private AcceptorSetPlanner.ReplicaStatus replica(long nowMs, String address) {
        if (address.equals(self)) {
            return new AcceptorSetPlanner.ReplicaStatus(
                    address, 0, register.persistedBallot(), leaving);
        }
        return new AcceptorSetPlanner.ReplicaStatus(
                address,
                contactAgeMs(nowMs, address),
                contact.persistedBallot(address),
                leavingHeartbeatMs.containsKey(address));
    }
}
