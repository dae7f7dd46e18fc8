package poppynotch.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Merges the server lists of several control-plane replicas. A server counts as draining, or as
 * left, as soon as one replica lists it so. A server that is no longer listed is removed only when
 * a replica with a complete list replies, and only if no connection lists it. Owned by a {@link
 * ControlClient} and used on its thread only.
 */
final class ServerDirectory {

    private static final int MAX_LEFT_SERVERS = 4096;

    private final Map<String, ServerRecord> servers = new HashMap<>();
    private final Map<Integer, Set<String>> listedIdsByLink = new HashMap<>();

    /** The ids of servers that have left, oldest first. These servers are never added again. */
    private final Set<String> leftIds = new LinkedHashSet<>();

    /** A live view of all servers that are ready or draining. */
    Collection<ServerRecord> servers() {
        return servers.values();
    }

    /** Discards the list of a link that has a new connection, possibly to another replica. */
    void onConnected(int linkIndex) {
        listedIdsByLink.remove(linkIndex);
    }

    /**
     * Discards the lists of all links: a server that no replica lists from now on is removed by the
     * next update with a complete list.
     */
    void discardLists() {
        listedIdsByLink.clear();
    }

    /**
     * Merges the servers that a connection lists.
     *
     * @param full whether {@code listed} is the full list of the replica, else it has the changes
     * @param complete whether the replica is certain to know all servers of the fleet
     * @return whether the merged servers have changed
     */
    boolean update(int linkIndex, boolean full, boolean complete, List<ServerRecord> listed) {
        Set<String> listedIds = listedIdsByLink.computeIfAbsent(linkIndex, key -> new HashSet<>());
        if (full) {
            listedIds.clear();
        }
        boolean changed = false;
        for (ServerRecord server : listed) {
            changed |= merge(listedIds, server);
        }
        if (complete) {
            changed |= removeUnlisted();
        }
        return changed;
    }

    private boolean merge(Set<String> listedIds, ServerRecord server) {
        if (server.state() == ServerState.LEFT) {
            listedIds.remove(server.id());
            return markLeft(server.id());
        }
        if (server.state() == ServerState.EXPIRED) {
            listedIds.remove(server.id());
            return false;
        }
        if (leftIds.contains(server.id())) {
            return false;
        }
        listedIds.add(server.id());
        ServerRecord known = servers.get(server.id());
        if (known != null && isOutdated(known, server)) {
            return false;
        }
        ServerRecord merged = known == null ? server : server.withVersionFrom(known);
        servers.put(server.id(), merged);
        return known == null || !known.equalsIgnoringSequence(merged);
    }

    /** Whether a listed record is older than the known one; draining is never reverted. */
    private static boolean isOutdated(ServerRecord known, ServerRecord listed) {
        boolean endsDrain =
                known.state() == ServerState.DRAINING && listed.state() == ServerState.READY;
        return listed.sequence() < known.sequence()
                || (endsDrain && listed.sequence() == known.sequence());
    }

    /**
     * Removes a server that has left, or whose address is now used by another one.
     *
     * @return whether the server was known
     */
    boolean markLeft(String serverId) {
        leftIds.add(serverId);
        if (leftIds.size() > MAX_LEFT_SERVERS) {
            leftIds.remove(leftIds.iterator().next());
        }
        return servers.remove(serverId) != null;
    }

    private boolean removeUnlisted() {
        return servers.keySet()
                .removeIf(
                        id ->
                                listedIdsByLink.values().stream()
                                        .noneMatch(listedIds -> listedIds.contains(id)));
    }
}
