package poppynotch.fleet.lease;

/**
 * A command of the lease service. Clients send it in requests and the Raft log stores it. The order
 * of the components and of the constants of {@link Kind} is part of the log's format.
 *
 * @param kind the operation
 * @param role name of the singleton role
 * @param member the requesting process; for {@link Kind#MOVE} the next holder of the lease, or
 *     empty to withdraw a move
 * @param instanceId random id of the requesting process, which distinguishes it from earlier
 *     processes of the same name
 * @param token fencing token of the lease that the command refers to; unused by {@link
 *     Kind#ACQUIRE}, {@link Kind#MOVE} and {@link Kind#READ}
 * @param renewalCount for {@link Kind#EXPIRE}, the expected renewal count of the lease: a lease
 *     that was renewed in the meantime does not expire
 */
public record LeaseCommand(
        Kind kind, String role, String member, long instanceId, long token, long renewalCount) {

    /** The operations. */
    public enum Kind {
        /** Acquires a free lease, or renews it if the requesting process already holds it. */
        ACQUIRE,
        /** Renews a lease that the requesting process holds. */
        RENEW,
        /** Releases a lease that the requesting process holds. */
        RELEASE,
        /** Ends a lease that was not renewed in time; only the leader may propose it. */
        EXPIRE,
        /** Asks the holder to hand the lease over to another process; sent by operators. */
        MOVE,
        /** Reads the current lease through the log and changes nothing. */
        READ
    }

    /** The maximum length of a role's name. */
    public static final int MAX_ROLE_NAME_LENGTH = 48;

    /** Creates a command with which a process acquires a role. */
    public static LeaseCommand acquire(String role, String member, long instanceId) {
        return new LeaseCommand(Kind.ACQUIRE, role, member, instanceId, 0, 0);
    }

    /** Creates a command with which a process renews the lease that it holds under a token. */
    static LeaseCommand renew(String role, String member, long instanceId, long token) {
        return new LeaseCommand(Kind.RENEW, role, member, instanceId, token, 0);
    }

    /** Creates a command with which a process releases the lease that it held under a token. */
    static LeaseCommand release(String role, String member, long instanceId, long token) {
        return new LeaseCommand(Kind.RELEASE, role, member, instanceId, token, 0);
    }

    /** Creates a command with which the leader ends a lease unless it is renewed before. */
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
     * Creates a command that asks a role's holder to hand it over.
     *
     * @param member the next holder, or empty to withdraw an earlier move
     */
    public static LeaseCommand move(String role, String member) {
        return new LeaseCommand(Kind.MOVE, role, member, 0, 0, 0);
    }
}
