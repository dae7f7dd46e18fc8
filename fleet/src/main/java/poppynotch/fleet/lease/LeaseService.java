package poppynotch.fleet.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The server side of leases on one Raft replica. While the replica is the leader, it appends
 * clients' commands to the log, expires leases that were not renewed in time by the leader's own
 * clock, and grants a role that becomes free to the most preferred request that waits for it. On
 * other replicas it redirects clients to the leader.
 *
 * <p>It does no I/O, and the current time is passed in. All state that must survive the process is
 * in the log; waiting requests are lost when the process ends, and clients retry them. Owned by the
 * Raft replica and called on the replica's executor thread; not thread-safe.
 */
public final class LeaseService {

    /**
     * How long a free role is reserved for the process to which an operator moved it; after that
     * any process may acquire it.
     */
    private static final double MOVE_RESERVATION_MS = 2000;

    /** The Raft log as seen by the local replica. */
    public interface ReplicatedLog {
        /** Whether this replica considers itself the leader. */
        boolean isLeader();

        /** The current term; no two leaders have the same term. */
        long term();

        /** The member name of the leader known to this replica; empty if it knows none. */
        String leader();

        /**
         * Appends a command.
         *
         * @param onOutcome receives the result once the command is committed and applied, or null
         *     if it is unknown whether the command was committed
         */
        void propose(LeaseCommand command, Consumer<LeaseTable.Outcome> onOutcome);
    }

    /** Sends responses to clients. */
    public interface ResponseSender {
        /** Sends the response to a request; the response may be lost. */
        void send(String member, long sequence, LeaseClient.Response response);
    }

    /** The state of one role on this replica that is not part of its replicated lease. */
    private static final class RoleState {
        /** When this replica applied the last grant, renewal, move or end of the lease. */
        double lastChangeMs;

        /** Whether this service proposed a command for the role whose outcome is pending. */
        boolean proposalPending;

        final AcquireQueue queue = new AcquireQueue();
    }

    private final LeaseSettings settings;
    private final LeaseTable table;
    private final ReplicatedLog log;
    private final ResponseSender responses;
    private final Map<String, RoleState> roles = new HashMap<>();
    private long term = -1;
    private boolean wasLeader;
    private double leaderSinceMs;

    /**
     * Creates a service without waiting requests.
     *
     * @param table the replica's table; the owner applies committed commands to it and reports each
     *     to {@link #onApplied}
     */
    public LeaseService(
            LeaseSettings settings, LeaseTable table, ReplicatedLog log, ResponseSender responses) {
        this.settings = settings;
        this.table = table;
        this.log = log;
        this.responses = responses;
    }

    /** Called after a committed command of any replica was applied to the table. */
    public void onApplied(double nowMs, LeaseCommand command, LeaseTable.Outcome outcome) {
        if (outcome.accepted() && command.kind() != LeaseCommand.Kind.READ) {
            stateOf(command.role()).lastChangeMs = nowMs;
        }
    }

    /** Called after the table was replaced by a snapshot of another replica. */
    public void onSnapshotInstalled(double nowMs) {
        table.leases().keySet().forEach(role -> stateOf(role).lastChangeMs = nowMs);
    }

    private RoleState stateOf(String role) {
        return roles.computeIfAbsent(role, name -> new RoleState());
    }

    /**
     * Handles a client's request.
     *
     * @param from the member that sent the request, which may request leases only for itself
     * @param sequence sequence number of the request, for the response
     */
    public void onRequest(double nowMs, String from, long sequence, LeaseClient.Request request) {
        LeaseCommand command = request.command();
        if (!isPermitted(from, command)) {
            // An invalid request is a fault of the client, which could not handle a response.
            return;
        }
        updateLeadership(nowMs);
        if (!wasLeader) {
            responses.send(from, sequence, notLeaderResponse());
            return;
        }
        LeaseTable.Lease lease = table.leaseOf(command.role());
        boolean mustWait =
                command.kind() == LeaseCommand.Kind.ACQUIRE && !lease.isHeldBySenderOf(command);
        if (!mustWait) {
            log.propose(command, outcome -> respond(from, sequence, outcome));
            return;
        }
        AcquireQueue.Entry entry =
                new AcquireQueue.Entry(from, sequence, command, request.preference(), nowMs);
        if (!stateOf(command.role()).queue.offer(entry)) {
            responses.send(from, sequence, rejection(lease));
        }
    }

    private static boolean isPermitted(String from, LeaseCommand command) {
        boolean concernsNoHolder =
                command.kind() == LeaseCommand.Kind.MOVE
                        || command.kind() == LeaseCommand.Kind.READ;
        return command.kind() != LeaseCommand.Kind.EXPIRE
                && (concernsNoHolder || command.member().equals(from))
                && !command.role().isEmpty()
                && command.role().length() <= LeaseCommand.MAX_ROLE_NAME_LENGTH;
    }

    private LeaseClient.Response notLeaderResponse() {
        return new LeaseClient.Response(false, null, log.isLeader() ? "" : log.leader());
    }

    private LeaseClient.Response rejection(LeaseTable.Lease lease) {
        return new LeaseClient.Response(false, lease, log.leader());
    }

    /** Sends the outcome of a command; null if it is unknown because leadership was lost. */
    private void respond(String to, long sequence, LeaseTable.Outcome outcome) {
        LeaseClient.Response response =
                outcome == null
                        ? notLeaderResponse()
                        : new LeaseClient.Response(
                                outcome.accepted(), outcome.lease(), log.leader());
        responses.send(to, sequence, response);
    }

    /**
     * Detects changes of leadership. A new leader counts the duration of every lease from the start
     * of its leadership, as it may have applied the last grants of its predecessor late.
     */
    private void updateLeadership(double nowMs) {
        if (log.isLeader() == wasLeader && log.term() == term) {
            return;
        }
        wasLeader = log.isLeader();
        term = log.term();
        leaderSinceMs = nowMs;
        roles.values().forEach(role -> role.proposalPending = false);
        if (!wasLeader) {
            roles.values()
                    .forEach(
                            role ->
                                    role.queue
                                            .removeAll()
                                            .forEach(
                                                    entry ->
                                                            responses.send(
                                                                    entry.from(),
                                                                    entry.sequence(),
                                                                    notLeaderResponse())));
        }
    }

    /**
     * Expires leases, grants free roles, and rejects requests that have waited too long; called
     * about every 50 ms.
     */
    public void advance(double nowMs) {
        updateLeadership(nowMs);
        if (!wasLeader) {
            return;
        }
        Map<String, LeaseTable.Lease> leases = table.leases();
        for (Map.Entry<String, RoleState> entry : roles.entrySet()) {
            String name = entry.getKey();
            RoleState role = entry.getValue();
            LeaseTable.Lease lease = leases.getOrDefault(name, LeaseTable.Lease.FREE);
            advanceRole(nowMs, name, role, lease);
            for (AcquireQueue.Entry expired :
                    role.queue.removeExpired(nowMs, settings.maxWaitMs())) {
                responses.send(expired.from(), expired.sequence(), rejection(lease));
            }
        }
    }

    private void advanceRole(double nowMs, String name, RoleState role, LeaseTable.Lease lease) {
        if (role.proposalPending) {
            return;
        }
        double unchangedSinceMs = Math.max(role.lastChangeMs, leaderSinceMs);
        if (!lease.isFree()) {
            if (nowMs >= unchangedSinceMs + settings.leaderLeaseMs()) {
                propose(role, LeaseCommand.expire(name, lease), outcome -> {});
            }
        } else if (!role.queue.isEmpty()) {
            grant(nowMs, name, lease, role, unchangedSinceMs);
        }
    }

    private void grant(
            double nowMs, String name, LeaseTable.Lease lease, RoleState role, double freeSinceMs) {
        String nextHolder = lease.nextHolder();
        if (!nextHolder.isEmpty() && !role.queue.contains(nextHolder)) {
            if (nowMs >= freeSinceMs + MOVE_RESERVATION_MS) {
                propose(role, LeaseCommand.move(name, ""), outcome -> {});
            }
            return;
        }
        if (nowMs < role.queue.oldestReceivedMs() + settings.selectionDelayMs()) {
            return;
        }
        AcquireQueue.Entry selected =
                nextHolder.isEmpty()
                        ? role.queue.removeMostPreferred()
                        : role.queue.remove(nextHolder);
        propose(
                role,
                selected.command(),
                outcome -> respond(selected.from(), selected.sequence(), outcome));
    }

    private void propose(
            RoleState role, LeaseCommand command, Consumer<LeaseTable.Outcome> onOutcome) {
        role.proposalPending = true;
        log.propose(
                command,
                outcome -> {
                    role.proposalPending = false;
                    onOutcome.accept(outcome);
                });
    }

    /** The members with a request for a role waiting at this replica, for operators. */
    public List<String> waitingMembers(String role) {
        return roles.containsKey(role) ? roles.get(role).queue.members() : List.of();
    }

    /** Time since this replica applied a role's last grant, renewal, move or end. */
    public double lastChangeAgeMs(double nowMs, String role) {
        return roles.containsKey(role) ? nowMs - roles.get(role).lastChangeMs : 0;
    }
}
