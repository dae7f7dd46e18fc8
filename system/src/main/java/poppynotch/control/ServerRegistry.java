package poppynotch.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import poppynotch.wire.DepartureRetention;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * The registry of model servers: each has a lease that its heartbeats renew. Every control-plane
 * replica has its own, and {@link RegistryReplicator} exchanges the changes. Servers that are ready
 * are soft state; those that drain or have left are <em>departures</em>, which {@link
 * DepartureJournal} keeps on disk. A server that has left stays as a tombstone ({@link
 * DepartureRetention}), so that a late heartbeat does not add it again, and edges that were out of
 * contact are notified. A draining server whose lease expires has left.
 *
 * <p>An entry is either directly observed (it was renewed at this replica, or at one that received
 * the server's heartbeat) or only relayed (known from another replica's list, or not renewed since
 * this replica was last out of contact with a quorum).
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in.
 */
public final class ServerRegistry {

    /** Heartbeat intervals per lease; {@link #LEASE_SLACK_MS} is added for the network. */
    private static final double LEASE_HEARTBEATS = 3.5;

    private static final long LEASE_SLACK_MS = 800;

    /** How long the entry of a server that has expired is retained. */
    private static final long EXPIRED_RETENTION_MS = 60_000;

    /** Heartbeat intervals after which every live server is assumed to have registered again. */
    private static final double COMPLETE_HEARTBEATS = 2.2;

    private static final int MAX_ENTRIES = 8192;

    /** Earlier than any time, and far enough from the limits that differences don't overflow. */
    private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

    private static final class Entry {
        private ServerRecord server;

        /** When the lease was last renewed; for a server that has left, when it left. */
        private long renewedMs;

        /** Whether this entry is only relayed, as the class comment defines it. */
        private boolean relayedOnly;

        /** The registry's version at the latest change of this entry. */
        private long version;

        Entry(ServerRecord server) {
            this.server = server;
        }
    }

    private final long leaseMs;

    /** Time after a start or a loss of contact until every live server is listed. */
    private final long completeAfterMs;

    private final Map<String, Entry> entries = new HashMap<>();

    /** Sequence numbers of renewals that have not been sent to peers yet, by server id. */
    private final Map<String, Long> pendingRenewals = new HashMap<>();

    private long version = 1;
    private long departuresVersion;
    private long completeAtMs;

    /** The cached digest at {@link #digestVersion}; renewals of leases do not change it. */
    private long digest;

    private long digestVersion;

    /** Creates an empty registry for servers that register every {@code heartbeatMs}. */
    public ServerRegistry(long nowMs, long heartbeatMs) {
        leaseMs = (long) (LEASE_HEARTBEATS * heartbeatMs) + LEASE_SLACK_MS;
        completeAfterMs = (long) (COMPLETE_HEARTBEATS * heartbeatMs);
        markIncomplete(nowMs);
    }

    // ---- completeness ----

    /**
     * Records that heartbeats may have been missed, so that live servers may not be listed. Listed
     * servers must renew before the list is complete again: they get no full lease, as they may
     * have been removed at other replicas, which may have dropped the tombstones since.
     */
    public void markIncomplete(long nowMs) {
        completeAtMs = nowMs + completeAfterMs;
        entries.values().forEach(entry -> markRelayedOnly(nowMs, entry));
    }

    private void markRelayedOnly(long nowMs, Entry entry) {
        if (entry.server.state() != ServerState.LEFT && !entry.relayedOnly) {
            entry.relayedOnly = true;
            // With this renewal time, the lease expires when the list is complete again.
            entry.renewedMs = Math.max(entry.renewedMs, nowMs - leaseMs + completeAfterMs);
        }
    }

    /** Whether every live server is listed. */
    public boolean isComplete(long nowMs) {
        return nowMs >= completeAtMs;
    }

    /** Records that another replica's complete registry has been applied. */
    public void markComplete(long nowMs) {
        completeAtMs = Math.min(completeAtMs, nowMs);
    }

    // ---- changes ----

    /**
     * Applies a registration received from the server itself.
     *
     * @return whether it changes more than the time of the last renewal
     */
    public boolean apply(long nowMs, ServerRecord received) {
        Entry entry = entries.get(received.id());
        ServerRecord server = entry == null ? received : received.withVersionFrom(entry.server);
        if (entry == null) {
            entry = new Entry(server);
            entries.put(server.id(), entry);
            evictOldestTombstone();
        } else if (entry.server.state() == ServerState.LEFT || isStale(entry.server, server)) {
            return false;
        } else {
            boolean unchanged = entry.server.equalsIgnoringSequence(server);
            if (!unchanged && isDeparture(entry.server)) {
                departuresVersion++;
            }
            entry.server = server;
            entry.relayedOnly = false;
            if (unchanged) {
                entry.renewedMs = nowMs;
                pendingRenewals.put(server.id(), server.sequence());
                return false;
            }
        }
        entry.renewedMs = nowMs;
        onChanged(entry);
        return true;
    }

    private void onChanged(Entry entry) {
        version++;
        entry.version = version;
        if (isDeparture(entry.server)) {
            departuresVersion++;
        }
    }

    /** Applies the departures that an earlier process of this replica has recorded. */
    public void restore(long nowMs, List<ServerRecord> departures) {
        departures.forEach(departure -> applyRelayed(nowMs, departure));
    }

    /**
     * Applies another replica's record of a server. A server that was not known here gets no full
     * lease, as the record may be old: the server must renew it. The lease of a known server is not
     * renewed.
     *
     * @return whether it changes the entry
     */
    public boolean applyRelayed(long nowMs, ServerRecord received) {
        Entry known = entries.get(received.id());
        ServerRecord server = known == null ? received : received.withVersionFrom(known.server);
        if (known != null && known.server.equalsIgnoringSequence(server)) {
            return false;
        }
        boolean wasAbsent = known == null || known.server.state() == ServerState.EXPIRED;
        boolean changed = apply(nowMs, server);
        if (changed && wasAbsent) {
            Entry entry = entries.get(server.id());
            entry.relayedOnly = false;
            entry.renewedMs = server.state() == ServerState.LEFT ? nowMs : LONG_AGO_MS;
            markRelayedOnly(nowMs, entry);
        }
        return changed;
    }

    /** Bounds the registry: only clients that invent server ids cause so many tombstones. */
    private void evictOldestTombstone() {
        if (entries.size() > MAX_ENTRIES) {
            entries.entrySet().stream()
                    .filter(entry -> entry.getValue().server.state() == ServerState.LEFT)
                    .min(Comparator.comparingLong(entry -> entry.getValue().renewedMs))
                    .map(Map.Entry::getKey)
                    .ifPresent(entries::remove);
        }
    }

    private static boolean isStale(ServerRecord known, ServerRecord received) {
        if (received.state() == ServerState.LEFT) {
            return false;
        }
        boolean endsDraining =
                known.state() == ServerState.DRAINING && received.state() == ServerState.READY;
        return received.sequence() < known.sequence()
                || (endsDraining && received.sequence() == known.sequence());
    }

    /**
     * Records that a server has left.
     *
     * @return its tombstone, also if the server is not known here, as other replicas may list it
     *     and must not add it again
     */
    public ServerRecord deregister(long nowMs, String id) {
        Entry entry = entries.get(id);
        ServerRecord tombstone =
                entry == null
                        ? new ServerRecord(id, "", "", "", 0, ServerState.LEFT, 0)
                        : entry.server.withState(ServerState.LEFT);
        apply(nowMs, tombstone);
        return tombstone;
    }

    /** Renews the lease of a live server whose heartbeat another replica has received. */
    public void renewRelayed(long nowMs, String id, long sequence) {
        Entry entry = entries.get(id);
        if (entry != null && isLive(entry.server) && sequence >= entry.server.sequence()) {
            entry.server = entry.server.withSequence(sequence);
            entry.renewedMs = nowMs;
            entry.relayedOnly = false;
        }
    }

    /** Removes and returns the renewals to be sent to peers: those without other changes. */
    public List<Message.Renewal> drainRenewals() {
        List<Message.Renewal> drained = new ArrayList<>(pendingRenewals.size());
        pendingRenewals.forEach((id, sequence) -> drained.add(new Message.Renewal(id, sequence)));
        pendingRenewals.clear();
        return drained;
    }

    /** Expires leases and removes old tombstones; true if a lease has expired. */
    public boolean tick(long nowMs) {
        long versionBefore = version;
        Iterator<Entry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            boolean live = isLive(entry.server);
            if (live && nowMs - entry.renewedMs > leaseMs) {
                onLeaseExpired(nowMs, entry);
            } else if (!live && nowMs - entry.renewedMs > retentionMs(entry.server)) {
                iterator.remove();
            }
        }
        return version != versionBefore;
    }

    private void onLeaseExpired(long nowMs, Entry entry) {
        if (entry.server.state() == ServerState.DRAINING) {
            entry.server = entry.server.withState(ServerState.LEFT);
            entry.renewedMs = nowMs;
        } else {
            entry.server = entry.server.withState(ServerState.EXPIRED);
        }
        onChanged(entry);
    }

    private static long retentionMs(ServerRecord server) {
        return server.state() == ServerState.LEFT
                ? DepartureRetention.TOMBSTONE_RETENTION_MS
                : EXPIRED_RETENTION_MS;
    }

    private static boolean isLive(ServerRecord server) {
        return server.state() == ServerState.READY || server.state() == ServerState.DRAINING;
    }

    /** Whether a server drains or has left. */
    static boolean isDeparture(ServerRecord server) {
        return server.state() == ServerState.DRAINING || server.state() == ServerState.LEFT;
    }

    // ---- queries ----

    /** The version of the registry, which grows with each change of an entry. */
    public long version() {
        return version;
    }

    /** The version of the departures, which grows with each change of one. */
    long departuresVersion() {
        return departuresVersion;
    }

    /** The servers that drain or have left. */
    List<ServerRecord> departures() {
        return all().stream().filter(ServerRegistry::isDeparture).toList();
    }

    /** The state of a server; empty if it is not known. */
    Optional<ServerState> stateOf(String id) {
        return Optional.ofNullable(entries.get(id)).map(entry -> entry.server.state());
    }

    /** The entries that have changed after a version. */
    public List<ServerRecord> changesSince(long sinceVersion) {
        List<ServerRecord> changed = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.version > sinceVersion) {
                changed.add(entry.server);
            }
        }
        return changed;
    }

    /** All entries, also of servers that have left or expired. */
    public List<ServerRecord> all() {
        List<ServerRecord> all = new ArrayList<>(entries.size());
        for (Entry entry : entries.values()) {
            all.add(entry.server);
        }
        return all;
    }

    /** The entries that are directly observed, on which other replicas may rely. */
    public List<ServerRecord> directlyObserved() {
        return entries.values().stream()
                .filter(entry -> !entry.relayedOnly)
                .map(entry -> entry.server)
                .toList();
    }

    /** Servers that are ready or draining. */
    public Collection<ServerRecord> liveServers() {
        return all().stream().filter(ServerRegistry::isLive).toList();
    }

    /** A hash that is equal for registries with the same live servers in the same states. */
    public long digest() {
        if (digestVersion != version) {
            digest = computeDigest();
            digestVersion = version;
        }
        return digest;
    }

    private long computeDigest() {
        long sum = 0;
        for (Entry entry : entries.values()) {
            ServerRecord server = entry.server;
            if (isLive(server)) {
                sum +=
                        (server.id().hashCode() * 31L + server.state().ordinal())
                                * 0x9E3779B97F4A7C15L;
            }
        }
        return sum;
    }
}
