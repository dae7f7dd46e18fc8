package poppynotch.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * The servers that have registered, each held by a lease that its heartbeats renew. It is soft
 * state: every core process has its own, and they tell each other what changes. A server that has
 * left stays known as such, so that a late heartbeat does not bring it back. It does no I/O and is
 * told the time.
 */
public final class ServerRegistry {

    /** A lease lasts so many heartbeats, and some time for the way. */
    private static final double LEASE_HEARTBEATS = 3.5;

    private static final long LEASE_SLACK_MS = 800;

    /** How long a server that has left, or that was not heard of, is remembered. */
    private static final long TOMBSTONE_MS = 60_000;

    /**
     * After so many heartbeats of all servers nothing is missing in a registry that began empty.
     */
    private static final double COMPLETE_HEARTBEATS = 2.2;

    private static final class Entry {
        ServerRecord server;
        long heardMs;

        /** The registry's version at its latest change. */
        long version;

        Entry(ServerRecord server) {
            this.server = server;
        }
    }

    private final long leaseMs;
    private final long heartbeatMs;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> heard = new HashMap<>();
    private long version = 1;
    private long completeAtMs;

    /** An empty registry for servers that register every {@code heartbeatMs}. */
    public ServerRegistry(long nowMs, long heartbeatMs) {
        this.heartbeatMs = heartbeatMs;
        leaseMs = (long) (LEASE_HEARTBEATS * heartbeatMs) + LEASE_SLACK_MS;
        restart(nowMs);
    }

    /** Heartbeats may have been missed: what is not listed may exist all the same. */
    public void restart(long nowMs) {
        completeAtMs = nowMs + (long) (COMPLETE_HEARTBEATS * heartbeatMs);
        entries.values().forEach(entry -> entry.heardMs = nowMs);
    }

    /** Whether every server that lives is listed. */
    public boolean isComplete(long nowMs) {
        return nowMs >= completeAtMs;
    }

    /** A complete registry was taken in. */
    public void markComplete(long nowMs) {
        completeAtMs = Math.min(completeAtMs, nowMs);
    }

    /** Grows with each change. */
    public long version() {
        return version;
    }

    /** Takes in a registration; true if it changes what is known of the server. */
    public boolean apply(long nowMs, ServerRecord server) {
        Entry entry = entries.get(server.id());
        if (entry == null) {
            entry = new Entry(server);
            entries.put(server.id(), entry);
        } else if (entry.server.state() == ServerState.LEFT || isStale(entry.server, server)) {
            return false;
        } else {
            boolean same = entry.server.sameAs(server);
            entry.server = server;
            if (same) {
                entry.heardMs = nowMs;
                heard.put(server.id(), server.sequence());
                return false;
            }
        }
        entry.heardMs = nowMs;
        entry.version = ++version;
        return true;
    }

    private static boolean isStale(ServerRecord known, ServerRecord told) {
        if (told.state() == ServerState.LEFT) {
            return false;
        }
        boolean revives =
                known.state() == ServerState.DRAINING && told.state() == ServerState.READY;
        return told.sequence() < known.sequence() || revives && told.sequence() == known.sequence();
    }

    /** A server has said that it ends. The record of its tombstone, if it was known. */
    public Optional<ServerRecord> leave(long nowMs, String id) {
        Entry entry = entries.get(id);
        if (entry == null) {
            return Optional.empty();
        }
        ServerRecord left = entry.server.as(ServerState.LEFT);
        apply(nowMs, left);
        return Optional.of(left);
    }

    /** Another core process has heard from a server. */
    public void heard(long nowMs, String id, long sequence) {
        Entry entry = entries.get(id);
        if (entry != null
                && entry.server.state() != ServerState.LEFT
                && entry.server.state() != ServerState.EXPIRED
                && sequence >= entry.server.sequence()) {
            entry.server = entry.server.withSequence(sequence);
            entry.heardMs = nowMs;
        }
    }

    /** Heartbeats since the last call that changed nothing, to be told to other core processes. */
    public List<Message.Heard> drainHeard() {
        List<Message.Heard> drained = new ArrayList<>(heard.size());
        heard.forEach((id, sequence) -> drained.add(new Message.Heard(id, sequence)));
        heard.clear();
        return drained;
    }

    /** Ends the leases that have run out; true if there were any. */
    public boolean tick(long nowMs) {
        long before = version;
        Iterator<Entry> all = entries.values().iterator();
        while (all.hasNext()) {
            Entry entry = all.next();
            boolean alive =
                    entry.server.state() == ServerState.READY
                            || entry.server.state() == ServerState.DRAINING;
            if (alive && nowMs - entry.heardMs > leaseMs) {
                entry.server = entry.server.as(ServerState.EXPIRED);
                entry.version = ++version;
            } else if (!alive && nowMs - entry.heardMs > TOMBSTONE_MS) {
                all.remove();
            }
        }
        return version != before;
    }

    /** What has changed after a version. */
    public List<ServerRecord> changesSince(long since) {
        return entries.values().stream()
                .filter(entry -> entry.version > since)
                .map(entry -> entry.server)
                .toList();
    }

    /** Everything that is known. */
    public List<ServerRecord> all() {
        return entries.values().stream().map(entry -> entry.server).toList();
    }

    /** Servers that take requests or end what they have. */
    public Collection<ServerRecord> living() {
        return all().stream()
                .filter(
                        server ->
                                server.state() == ServerState.READY
                                        || server.state() == ServerState.DRAINING)
                .toList();
    }

    /** The same where two registries list the same living servers in the same states. */
    public long digest() {
        long digest = 0;
        for (ServerRecord server : living()) {
            digest +=
                    (server.id().hashCode() * 31L + server.state().ordinal()) * 0x9E3779B97F4A7C15L;
        }
        return digest;
    }
}
