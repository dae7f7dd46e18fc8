package poppynotch.fleet.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The client side of leases in one process: it requests the singleton roles that the process wants,
 * renews the leases that it holds, and gives them back. A lease counts as held only while the
 * process's own clock is within its duration, counted from when the request was sent; after a pause
 * of the process the next check of the clock finds it expired.
 *
 * <p>It does no I/O, and the current time is passed in. The owner calls {@link #advance} every 50
 * ms or so and delivers responses by {@link #onResponse}, all on one thread; not thread-safe. It
 * holds nothing that must be released; a process that ends gives its roles back by {@link
 * #releaseRole}.
 */
public final class LeaseClient {

    /**
     * A request to one Raft server.
     *
     * @param server the server's member name
     * @param preference of several requests for a free role, the one with the lowest is granted
     */
    public record Request(String server, LeaseCommand command, int preference) {}

    /**
     * A Raft server's response.
     *
     * @param accepted as {@link LeaseTable.Outcome#accepted}; false where the server is not the
     *     leader
     * @param lease the lease after the command, or, of a request that was not carried out, the
     *     lease as the server has it, which may be stale; null where the server is not the leader
     * @param leader the leader's member name, as far as the server knows; empty for none
     */
    public record Response(boolean accepted, LeaseTable.Lease lease, String leader) {}

    /** Sends requests and is notified of leases; called on the client's thread. */
    public interface Callbacks {
        /**
         * Sends a request.
         *
         * @return the sequence number under which the response is delivered, or below 0 where it
         *     was not sent
         */
        long sendRequest(Request request);

        /**
         * A lease was granted, under a token higher than those of all earlier holders; the process
         * may act from now on.
         */
        default void onAcquired(String role, long token) {}

        /** A lease is no longer held: given back, lost to another process, or expired. */
        default void onLost(String role, long token, String reason) {}
    }

    /** The state of one requested role. */
    private static final class RoleState {
        int preference;
        boolean wanted;
        long token;

        /** When the lease expires; {@link #NO_LEASE} for none. */
        double expiresMs = NO_LEASE;

        /** When the next request is due, while none is in flight. */
        double nextRequestMs;

        /** Sequence number of the request in flight; {@link #NO_REQUEST} for none. */
        long sequence = NO_REQUEST;

        /** The last request, and when it was sent. */
        LeaseCommand lastCommand;

        double sentMs;

        /** Whether the lease was given back, and no server has confirmed it yet. */
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
     * How often a release is repeated, with one server after the other: for as long as the lease
     * would last by itself, which an election of the Raft group does not outlast.
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
     * A client that requests no role yet.
     *
     * @param member this process's name in the fleet
     * @param instanceId tells this process from an earlier one of the same name; drawn at its start
     * @param servers the Raft servers' member names, at least one
     */
    public LeaseClient(
            LeaseSettings settings,
            String member,
            long instanceId,
            List<String> servers,
            RandomGenerator random,
            Callbacks port) {
        this.settings = settings;
        this.member = member;
        this.instanceId = instanceId;
        this.servers = List.copyOf(servers);
        this.random = random;
        this.callbacks = port;
        currentServer = randomServer();
    }

    private String randomServer() {
        return servers.get(random.nextInt(servers.size()));
    }

    /**
     * Requests a role from now on, until {@link #releaseRole}.
     *
     * @param preference of several requests for a free role, the one with the lowest is granted
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
     * Requests a role no longer, as when the process shuts down or is on standby; a lease that it
     * holds is given back at once.
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
     * The fencing token under which this process may act in a role now.
     *
     * @return 0 where it does not hold the role's lease
     */
    public long currentToken(double nowMs, String roleName) {
        RoleState role = roles.get(roleName);
        return role != null && role.isHeldAt(nowMs) ? role.token : 0;
    }

    /** How long this process may act without a renewal, in milliseconds; 0 where it may not. */
    public double remainingMs(double nowMs, String roleName) {
        RoleState role = roles.get(roleName);
        return role == null ? 0 : Math.max(0, role.expiresMs - nowMs);
    }

    /** The lease of a role by the last response, which may be stale. */
    public LeaseTable.Lease lastKnownLease(String roleName) {
        return roles.containsKey(roleName)
                ? roles.get(roleName).lastKnownLease
                : LeaseTable.Lease.FREE;
    }

    /** The roles that were requested at any time, by name. */
    public List<String> requestedRoles() {
        return new ArrayList<>(roles.keySet());
    }

    /** The Raft server to which requests are sent now: the leader, as far as is known. */
    public String currentServer() {
        return currentServer;
    }

    /** Expires leases, renews them, and sends and repeats requests that are due. */
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
            // That server is not reachable: another one is tried soon.
            currentServer = randomServer();
            role.nextRequestMs = nowMs + randomDelayMs();
        }
    }

    private double randomDelayMs() {
        return settings.responseTimeoutMs() * random.nextDouble();
    }

    /**
     * A response was received; one that belongs to no request in flight is ignored.
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
     * Continues with the leader that the server named, or else with another server after a delay.
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
