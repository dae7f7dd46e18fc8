package poppynotch.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
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

    private static final int MOST_ENTRIES = 8192;

    private static final class Entry {
        ServerRecord server;
        long heardMs;

        /** It was not heard of lately, only told by another core process or held over a cut. */
        boolean hearsay;

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

    /**
     * Heartbeats may have been missed: what is not listed may exist all the same, and what is
     * listed has until the list is complete again to be heard of. It gets no whole lease: its end
     * may have been told elsewhere, to core processes that have forgotten it.
     */
    public void restart(long nowMs) {
        completeAtMs = nowMs + completeMs();
        entries.values().forEach(entry -> becomesHearsay(nowMs, entry));
    }

    private void becomesHearsay(long nowMs, Entry entry) {
        if (entry.server.state() != ServerState.LEFT && !entry.hearsay) {
            entry.hearsay = true;
            // When it would have been heard if its lease ended with the time to complete a list.
            entry.heardMs = Math.max(entry.heardMs, nowMs - leaseMs + completeMs());
        }
    }

    private long completeMs() {
        return (long) (COMPLETE_HEARTBEATS * heartbeatMs);
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
            forgetOldest();
        } else if (entry.server.state() == ServerState.LEFT || isStale(entry.server, server)) {
            return false;
        } else {
            boolean same = entry.server.sameAs(server);
            entry.server = server;
            entry.hearsay = false;
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

    /**
     * Takes in what another core process knows; true if it changes what is known of the server. One
     * that was not known here gets no whole lease: it must be heard of, as the word may be old. One
     * that was known is not heard of by that.
     */
    public boolean applyHearsay(long nowMs, ServerRecord server) {
        Entry known = entries.get(server.id());
        if (known != null && known.server.sameAs(server)) {
            return false;
        }
        boolean wasAway = known == null || known.server.state() == ServerState.EXPIRED;
        boolean changed = apply(nowMs, server);
        if (changed && wasAway) {
            Entry entry = entries.get(server.id());
            entry.hearsay = false;
            entry.heardMs = server.state() == ServerState.LEFT ? nowMs : Long.MIN_VALUE / 2;
            becomesHearsay(nowMs, entry);
        }
        return changed;
    }

    /** Tombstones are many only if somebody invents ids: the oldest give way. */
    private void forgetOldest() {
        if (entries.size() > MOST_ENTRIES) {
            entries.entrySet().stream()
                    .filter(entry -> entry.getValue().server.state() == ServerState.LEFT)
                    .min(Comparator.comparingLong(entry -> entry.getValue().heardMs))
                    .map(Map.Entry::getKey)
                    .ifPresent(entries::remove);
        }
    }

    private static boolean isStale(ServerRecord known, ServerRecord told) {
        if (told.state() == ServerState.LEFT) {
            return false;
        }
        boolean revives =
                known.state() == ServerState.DRAINING && told.state() == ServerState.READY;
        return told.sequence() < known.sequence() || revives && told.sequence() == known.sequence();
    }

    /**
     * A server has said that it ends. The record of its tombstone, also where the server was not
     * known: what others know of it must not come back.
     */
    public ServerRecord leave(long nowMs, String id) {
        Entry entry = entries.get(id);
        ServerRecord left =
                entry == null
                        ? new ServerRecord(id, "", "", "", 0, ServerState.LEFT, 0)
                        : entry.server.as(ServerState.LEFT);
        apply(nowMs, left);
        return left;
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
            entry.hearsay = false;
        }
    }

    /** Heartbeats since the last call that changed nothing, to be told to other core processes. */
    public List<Message.Renewal> drainHeard() {
        List<Message.Renewal> drained = new ArrayList<>(heard.size());
        heard.forEach((id, sequence) -> drained.add(new Message.Renewal(id, sequence)));
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

    /** Everything that another core process may take this one's word for: no hearsay of hearsay. */
    public List<ServerRecord> firstHand() {
        return entries.values().stream()
                .filter(entry -> !entry.hearsay)
                .map(entry -> entry.server)
                .toList();
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
