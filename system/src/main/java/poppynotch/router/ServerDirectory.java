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
 * The servers that core processes tell of, merged. A server that drains or has left does so whoever
 * says it. One that is no longer listed is removed only on the word of a core process whose list is
 * complete, and only if no other lists it. It does no I/O.
 */
final class ServerDirectory {

    private static final int MOST_LEFT = 4096;

    private final Map<String, ServerRecord> known = new HashMap<>();
    private final Map<Integer, Set<String>> listedBy = new HashMap<>();
    private final Set<String> left = new LinkedHashSet<>();

    /** All servers that are ready or drain. */
    Collection<ServerRecord> servers() {
        return known.values();
    }

    /** A source starts anew, as another core process answers on it: it has listed nothing yet. */
    void forget(int source) {
        listedBy.remove(source);
    }

    /**
     * A source tells of servers; true if something has changed.
     *
     * @param whole the list is all that the source knows, else changes
     * @param complete the source surely knows all servers
     */
    boolean update(int source, boolean whole, boolean complete, List<ServerRecord> servers) {
        Set<String> listed = listedBy.computeIfAbsent(source, key -> new HashSet<>());
        if (whole) {
            listed.clear();
        }
        boolean changed = false;
        for (ServerRecord server : servers) {
            changed |= take(listed, server);
        }
        return (complete && removeUnlisted()) | changed;
    }

    private boolean take(Set<String> listed, ServerRecord server) {
        if (server.state() == ServerState.LEFT) {
            listed.remove(server.id());
            return markLeft(server.id());
        }
        if (server.state() == ServerState.EXPIRED) {
            listed.remove(server.id());
            return false;
        }
        if (left.contains(server.id())) {
            return false;
        }
        listed.add(server.id());
        ServerRecord before = known.get(server.id());
        if (before != null && isOlder(before, server)) {
            return false;
        }
        known.put(server.id(), server);
        return before == null || !before.sameAs(server);
    }

    private static boolean isOlder(ServerRecord before, ServerRecord told) {
        boolean revives =
                before.state() == ServerState.DRAINING && told.state() == ServerState.READY;
        return told.sequence() < before.sequence()
                || revives && told.sequence() == before.sequence();
    }

    /** A server has left, or another one has its address; true if it was known. */
    boolean markLeft(String id) {
        left.add(id);
        if (left.size() > MOST_LEFT) {
            left.remove(left.iterator().next());
        }
        return known.remove(id) != null;
    }

    private boolean removeUnlisted() {
        return known.keySet()
                .removeIf(
                        id -> listedBy.values().stream().noneMatch(listed -> listed.contains(id)));
    }
}
