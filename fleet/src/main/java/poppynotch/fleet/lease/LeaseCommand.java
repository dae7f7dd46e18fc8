package poppynotch.fleet.lease;

/**
 * A command of the replicated lease log, as clients request it and as the Raft log stores it. The
 * order of the components and of the constants of {@link Kind} is part of the log's format.
 *
 * @param kind the operation
 * @param role name of the singleton role
 * @param member the requesting process; for {@link Kind#MOVE} the process that is to hold the lease
 *     next (empty for none)
 * @param instanceId random id of the requesting process instance, which tells it from an earlier
 *     process of the same name
 * @param token fencing token of the lease that the command refers to; unused by {@link
 *     Kind#ACQUIRE}, {@link Kind#MOVE} and {@link Kind#READ}
 * @param renewalCount for {@link Kind#EXPIRE}, the renewal count of the lease that is to be
 *     expired: a lease that was renewed in the meantime stays
 */
public record LeaseCommand(
        Kind kind, String role, String member, long instanceId, long token, long renewalCount) {

    /** The operations. */
    public enum Kind {
        /** Acquires a free lease; renews it where the requesting process holds it already. */
        ACQUIRE,
        /** Renews a lease that the requesting process holds. */
        RENEW,
        /** Gives a lease back. */
        RELEASE,
        /** Ends a lease that was not renewed in time; only the leader may propose it. */
        EXPIRE,
        /** By an operator: asks the holder to give the lease up to another process. */
        MOVE,
        /** Reads the current lease through the log and changes nothing. */
        READ
    }

    /** The maximum length of a role's name. */
    public static final int MAX_ROLE_NAME_LENGTH = 48;

    /** A command by which a process instance acquires a role. */
    public static LeaseCommand acquire(String role, String member, long instanceId) {
        return new LeaseCommand(Kind.ACQUIRE, role, member, instanceId, 0, 0);
    }

    /** A command by which a process instance renews the lease that it holds under a token. */
    static LeaseCommand renew(String role, String member, long instanceId, long token) {
        return new LeaseCommand(Kind.RENEW, role, member, instanceId, token, 0);
    }

    /** A command by which a process instance gives back the lease that it held under a token. */
    static LeaseCommand release(String role, String member, long instanceId, long token) {
        return new LeaseCommand(Kind.RELEASE, role, member, instanceId, token, 0);
    }

    /** A command by which the leader ends this lease, unless it is renewed before. */
    static LeaseCommand expire(String role, LeaseTable.Lease lease) {
        return new LeaseCommand(
                Kind.EXPIRE,
                role,
                lease.holder(),
                lease.holderInstanceId(),
                lease.token(),
                lease.renewalCount());
    }

    /**
     * A command that asks a role's holder to give it up.
     *
     * @param member who is to hold it next, or empty to withdraw an earlier move
     */
    public static LeaseCommand move(String role, String member) {
        return new LeaseCommand(Kind.MOVE, role, member, 0, 0, 0);
    }
}
