package poppynotch.fleet.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The client side of leases in one process: it requests the singleton roles that the process wants,
 * renews the leases that it holds, and releases them. By the process's own clock, a lease is held
 * for its duration counted from when the request was sent, so that after a pause of the process the
 * next check of the clock finds the lease expired.
 *
 * <p>It does no I/O, and the current time is passed in. The owner calls {@link #advance} about
 * every 50 ms and delivers responses with {@link #onResponse}, all on one thread; not thread-safe.
 * There is no resource to close; a process that shuts down releases its roles with {@link
 * #releaseRole}.
 */
public final class LeaseClient {

    /**
     * A request to one Raft server.
     *
     * @param server the server's member name
     * @param preference the leader grants a free role to the request with the lowest number
     */
    public record Request(String server, LeaseCommand command, int preference) {}

    /**
     * A Raft server's response.
     *
     * @param accepted as {@link LeaseTable.Outcome#accepted}; false if the server is not the leader
     * @param lease the lease after the command, or, if the command was not executed, the server's
     *     copy of the lease, which may be stale; null if the server is not the leader
     * @param leader the member name of the leader known to the server; empty if it knows none
     */
    public record Response(boolean accepted, LeaseTable.Lease lease, String leader) {}

    /** Sends requests and is notified of leases; called on the client's thread. */
    public interface Callbacks {
        /**
         * Sends a request.
         *
         * @return the sequence number with which the response is delivered, or a negative number if
         *     the request was not sent
         */
        long sendRequest(Request request);

        /**
         * Called when a lease was granted. Its token is higher than those of all earlier holders,
         * and the process may act in the role from now on.
         */
        default void onAcquired(String role, long token) {}

        /** Called when a lease was released, was lost to another process, or expired. */
        default void onLost(String role, long token, String reason) {}
    }

    /** The state of one requested role. */
    private static final class RoleState {
        int preference;
        boolean wanted;
        long token;

        /** When the lease expires; {@link #NO_LEASE} if none is held. */
        double expiresMs = NO_LEASE;

        /** When the next request is due, if none is in flight. */
        double nextRequestMs;

        /** Sequence number of the request in flight; {@link #NO_REQUEST} if there is none. */
        long sequence = NO_REQUEST;

        /** The command of the last request. */
        LeaseCommand lastCommand;

        /** When the last request was sent. */
        double sentMs;

        /** Whether the lease was released and no server has confirmed the release yet. */
        boolean releasePending;

        int releaseAttempts;
        LeaseTable.Lease lastKnownLease = LeaseTable.Lease.FREE;

        boolean hasLease() {
            return expiresMs != NO_LEASE;
        }

        boolean isHeldAt(double nowMs) {
            return nowMs < expiresMs;
        }

        boolean isRequestInFlight() {
            return sequence >= 0;
        }
    }

    private static final double NO_LEASE = Double.NEGATIVE_INFINITY;
    private static final long NO_REQUEST = -1;

    /**
     * The maximum number of attempts to release a lease, at different servers. Together they take
     * about as long as the lease would last otherwise, and longer than an election of the Raft
     * group.
     */
    private static final int MAX_RELEASE_ATTEMPTS = 20;

    private final LeaseSettings settings;
    private final String member;
    private final long instanceId;
    private final List<String> servers;
    private final RandomGenerator random;
    private final Callbacks callbacks;
    private final Map<String, RoleState> roles = new TreeMap<>();
    private String currentServer;

    /**
     * Creates a client that requests no role yet.
     *
     * @param member this process's name in the fleet
     * @param instanceId random id that distinguishes this process from earlier ones of its name
     * @param servers the Raft servers' member names, at least one
     */
    public LeaseClient(
            LeaseSettings settings,
            String member,
            long instanceId,
            List<String> servers,
            RandomGenerator random,
            Callbacks callbacks) {
        this.settings = settings;
        this.member = member;
        this.instanceId = instanceId;
        this.servers = List.copyOf(servers);
        this.random = random;
        this.callbacks = callbacks;
        currentServer = randomServer();
    }

    private String randomServer() {
        return servers.get(random.nextInt(servers.size()));
    }

    /**
     * Starts to request a role, until {@link #releaseRole} is called.
     *
     * @param preference the leader grants a free role to the request with the lowest number
     */
    public void requestRole(double nowMs, String roleName, int preference) {
        RoleState role = roles.computeIfAbsent(roleName, name -> new RoleState());
        role.preference = preference;
        if (!role.wanted) {
            role.wanted = true;
            role.nextRequestMs = nowMs;
        }
    }

    /**
     * Stops requesting a role, for example when the process shuts down or goes on standby, and
     * releases its lease immediately if it is held.
     */
    public void releaseRole(double nowMs, String roleName) {
        RoleState role = roles.get(roleName);
        if (role != null && role.wanted) {
            role.wanted = false;
            giveUpLease(nowMs, roleName, role, "released");
        }
    }

    private void giveUpLease(double nowMs, String roleName, RoleState role, String reason) {
        boolean hadLease = role.hasLease();
        role.expiresMs = NO_LEASE;
        if (hadLease) {
            callbacks.onLost(roleName, role.token, reason);
            release(nowMs, roleName, role);
        }
    }

    private void release(double nowMs, String roleName, RoleState role) {
        role.releasePending = true;
        role.releaseAttempts = 0;
        sendRelease(nowMs, roleName, role);
    }

    /**
     * The fencing token with which this process may act in a role now.
     *
     * @return the token, or 0 if this process does not hold the role's lease
     */
    public long currentToken(double nowMs, String roleName) {
        RoleState role = roles.get(roleName);
        return role != null && role.isHeldAt(nowMs) ? role.token : 0;
    }

    /** How long this process may act without a renewal, in milliseconds; 0 if it may not act. */
    public double remainingMs(double nowMs, String roleName) {
        RoleState role = roles.get(roleName);
        return role == null ? 0 : Math.max(0, role.expiresMs - nowMs);
    }

    /** The lease of a role according to the last response; may be stale. */
    public LeaseTable.Lease lastKnownLease(String roleName) {
        return roles.containsKey(roleName)
                ? roles.get(roleName).lastKnownLease
                : LeaseTable.Lease.FREE;
    }

    /** The names of all roles that were ever requested, sorted. */
    public List<String> requestedRoles() {
        return new ArrayList<>(roles.keySet());
    }

    /** The Raft server to which requests are sent: the last known leader. */
    public String currentServer() {
        return currentServer;
    }

    /** Expires and renews leases, and sends or retries requests that are due. */
    public void advance(double nowMs) {
        roles.forEach((roleName, role) -> advanceRole(nowMs, roleName, role));
    }

    private void advanceRole(double nowMs, String roleName, RoleState role) {
        if (role.hasLease() && !role.isHeldAt(nowMs)) {
            role.expiresMs = NO_LEASE;
            callbacks.onLost(roleName, role.token, "lease expired");
        }
        if (role.isRequestInFlight() && nowMs >= role.sentMs + responseTimeoutMs(role)) {
            role.sequence = NO_REQUEST;
            currentServer = randomServer();
            role.nextRequestMs = nowMs;
        }
        if (!role.isRequestInFlight() && nowMs >= role.nextRequestMs) {
            sendNextRequest(nowMs, roleName, role);
        }
    }

    private double responseTimeoutMs(RoleState role) {
        boolean mayWait =
                role.lastCommand != null && role.lastCommand.kind() == LeaseCommand.Kind.ACQUIRE;
        return settings.responseTimeoutMs() + (mayWait ? settings.maxWaitMs() : 0);
    }

    private void sendNextRequest(double nowMs, String roleName, RoleState role) {
        if (role.releasePending) {
            role.releaseAttempts++;
            if (role.releaseAttempts <= MAX_RELEASE_ATTEMPTS) {
                sendRelease(nowMs, roleName, role);
                return;
            }
        }
        if (role.wanted) {
            role.releasePending = false;
            LeaseCommand command =
                    role.isHeldAt(nowMs)
                            ? LeaseCommand.renew(roleName, member, instanceId, role.token)
                            : LeaseCommand.acquire(roleName, member, instanceId);
            send(nowMs, role, command);
        }
    }

    private void sendRelease(double nowMs, String roleName, RoleState role) {
        send(nowMs, role, LeaseCommand.release(roleName, member, instanceId, role.token));
    }

    private void send(double nowMs, RoleState role, LeaseCommand command) {
        role.sequence = callbacks.sendRequest(new Request(currentServer, command, role.preference));
        role.lastCommand = command;
        role.sentMs = nowMs;
        if (!role.isRequestInFlight()) {
            // The server is unreachable: try another one after a random delay.
            currentServer = randomServer();
            role.nextRequestMs = nowMs + randomDelayMs();
        }
    }

    private double randomDelayMs() {
        return settings.responseTimeoutMs() * random.nextDouble();
    }

    /**
     * Handles a response; one that belongs to no request in flight is ignored.
     *
     * @param sequence the number that {@link Callbacks#sendRequest} returned for the request
     */
    public void onResponse(double nowMs, long sequence, Response response) {
        for (Map.Entry<String, RoleState> entry : roles.entrySet()) {
            if (entry.getValue().sequence == sequence) {
                onRoleResponse(nowMs, entry.getKey(), entry.getValue(), response);
                return;
            }
        }
    }

    private void onRoleResponse(double nowMs, String roleName, RoleState role, Response response) {
        role.sequence = NO_REQUEST;
        if (response.lease() == null) {
            onNotLeader(nowMs, role, response);
            return;
        }
        role.lastKnownLease = response.lease();
        switch (role.lastCommand.kind()) {
            case ACQUIRE -> onAcquireResponse(nowMs, roleName, role, response);
            case RENEW -> onRenewResponse(nowMs, roleName, role, response);
            default -> {
                role.releasePending = false;
                role.nextRequestMs = nowMs + settings.selectionDelayMs();
            }
        }
    }

    /**
     * Continues with the leader that the server named, otherwise with a random server after a
     * delay.
     */
    private void onNotLeader(double nowMs, RoleState role, Response response) {
        boolean leaderKnown =
                servers.contains(response.leader()) && !response.leader().equals(currentServer);
        currentServer = leaderKnown ? response.leader() : randomServer();
        role.nextRequestMs = nowMs + (leaderKnown ? 0 : randomDelayMs());
    }

    private void onAcquireResponse(
            double nowMs, String roleName, RoleState role, Response response) {
        if (!response.accepted()) {
            role.nextRequestMs = nowMs;
            return;
        }
        double expiresMs = role.sentMs + settings.holderLeaseMs();
        long token = response.lease().token();
        boolean usable = role.wanted && expiresMs > nowMs && token >= role.token;
        role.token = token;
        if (usable) {
            role.expiresMs = expiresMs;
            role.nextRequestMs = nowMs + settings.renewIntervalMs();
            callbacks.onAcquired(roleName, token);
        } else {
            release(nowMs, roleName, role);
        }
    }

    private void onRenewResponse(double nowMs, String roleName, RoleState role, Response response) {
        boolean held = role.isHeldAt(nowMs);
        if (response.accepted() && held) {
            role.expiresMs = Math.max(role.expiresMs, role.sentMs + settings.holderLeaseMs());
            role.nextRequestMs = nowMs + settings.renewIntervalMs();
            String nextHolder = response.lease().nextHolder();
            if (!nextHolder.isEmpty()) {
                giveUpLease(nowMs, roleName, role, "moved to " + nextHolder + " by operators");
            }
            return;
        }
        role.expiresMs = NO_LEASE;
        role.nextRequestMs = nowMs;
        if (held) {
            callbacks.onLost(roleName, role.token, "held by another process");
        }
    }
}
