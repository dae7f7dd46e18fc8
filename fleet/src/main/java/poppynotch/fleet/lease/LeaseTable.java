package poppynotch.fleet.lease;

import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state of the lease service: the current lease of each singleton role. As the state
 * machine of the Raft log it is deterministic: the same commands give the same table on every
 * replica, and it reads no clock. The leader decides by its own clock when to propose {@link
 * LeaseCommand.Kind#EXPIRE}. The tokens of a role only increase, over all its holders, and a
 * repeated command has no further effect.
 *
 * <p>Owned by one Raft replica and called on that replica's executor thread; not thread-safe.
 */
public final class LeaseTable {

    /** The maximum number of roles; commands for further roles are rejected as client errors. */
    private static final int MAX_ROLES = 256;

    /** Each generation of the Raft group has a range of 2^40 tokens; see the constructor. */
    private static final int GENERATION_SHIFT = 40;

    /**
     * The current lease of a role. The order of the components is part of the log's format.
     *
     * @param holder the process that holds the lease; empty if it is free
     * @param holderInstanceId random id of the holder's process instance
     * @param token fencing token of the last grant; 0 if it was never granted
     * @param renewalCount set to 1 by a grant, incremented by each renewal and end
     * @param nextHolder the process that an operator chose as the next holder; empty if there is
     *     none
     */
    public record Lease(
            String holder,
            long holderInstanceId,
            long token,
            long renewalCount,
            String nextHolder) {
        static final Lease FREE = new Lease("", 0, 0, 0, "");

        /** Whether no process holds the lease. */
        public boolean isFree() {
            return holder.isEmpty();
        }

        boolean isHeldBySenderOf(LeaseCommand command) {
            return holder.equals(command.member()) && holderInstanceId == command.instanceId();
        }

        private Lease renewed() {
            return new Lease(holder, holderInstanceId, token, renewalCount + 1, nextHolder);
        }

        private Lease released() {
            return new Lease("", 0, token, renewalCount + 1, nextHolder);
        }

        /** This lease with another next holder; a move to the current holder withdraws a move. */
        private Lease movedTo(String nextHolder) {
            return new Lease(
                    holder,
                    holderInstanceId,
                    token,
                    renewalCount,
                    holder.equals(nextHolder) ? "" : nextHolder);
        }
    }

    /**
     * The result of a command.
     *
     * @param accepted whether the requested state is in effect, also if an earlier command had
     *     already caused it
     * @param lease the role's lease after the command
     */
    public record Outcome(boolean accepted, Lease lease) {}

    private final Map<String, Lease> leases = new TreeMap<>();
    private final long lastTokenOfEarlierGenerations;

    /**
     * Creates an empty table.
     *
     * @param generation generation of the Raft group; operators raise it when they found the group
     *     anew after its log was lost, so that new tokens are higher than all granted before
     */
    public LeaseTable(long generation) {
        lastTokenOfEarlierGenerations = generation << GENERATION_SHIFT;
    }

    /** Applies a committed command. */
    public Outcome apply(LeaseCommand command) {
        Lease lease = leaseOf(command.role());
        if (!leases.containsKey(command.role()) && leases.size() >= MAX_ROLES) {
            return rejected(lease);
        }
        return switch (command.kind()) {
            case ACQUIRE -> acquire(command, lease);
            case RENEW -> renew(command, lease);
            case RELEASE -> release(command, lease);
            case EXPIRE -> expire(command, lease);
            case MOVE -> store(command, lease.movedTo(command.member()));
            case READ -> new Outcome(true, lease);
        };
    }

    private Outcome acquire(LeaseCommand command, Lease lease) {
        if (lease.isHeldBySenderOf(command)) {
            return store(command, lease.renewed());
        }
        boolean reservedForOther =
                !lease.nextHolder().isEmpty() && !lease.nextHolder().equals(command.member());
        if (!lease.isFree() || reservedForOther) {
            return rejected(lease);
        }
        long token = Math.max(lease.token(), lastTokenOfEarlierGenerations) + 1;
        return store(command, new Lease(command.member(), command.instanceId(), token, 1, ""));
    }

    private Outcome renew(LeaseCommand command, Lease lease) {
        return refersTo(command, lease) && lease.isHeldBySenderOf(command)
                ? store(command, lease.renewed())
                : rejected(lease);
    }

    private Outcome release(LeaseCommand command, Lease lease) {
        return refersTo(command, lease) && lease.isHeldBySenderOf(command)
                ? store(command, lease.released())
                // A repeated release, or the lease has already ended: the sender does not hold it.
                : new Outcome(true, lease);
    }

    private Outcome expire(LeaseCommand command, Lease lease) {
        return refersTo(command, lease) && lease.renewalCount() == command.renewalCount()
                ? store(command, lease.released())
                : rejected(lease);
    }

    private static boolean refersTo(LeaseCommand command, Lease lease) {
        return !lease.isFree() && lease.token() == command.token();
    }

    private static Outcome rejected(Lease lease) {
        return new Outcome(false, lease);
    }

    private Outcome store(LeaseCommand command, Lease lease) {
        leases.put(command.role(), lease);
        return new Outcome(true, lease);
    }

    /** The current lease of a role; a free lease for a role that was never requested. */
    Lease leaseOf(String role) {
        return leases.getOrDefault(role, Lease.FREE);
    }

    /** A copy of the current leases by role, for snapshots and operators. */
    public Map<String, Lease> leases() {
        return new TreeMap<>(leases);
    }

    /** Replaces the content of the table with a snapshot from {@link #leases}. */
    public void restore(Map<String, Lease> snapshot) {
        leases.clear();
        leases.putAll(snapshot);
    }
}
