package poppynotch.balancer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All listed servers that are not gone, and those among them that are ready for calls. Changed by
 * {@link ServerUpdater}, {@link ServerRemover} and {@link ReadyServersRefresher}.
 */
final class ServerTable {

    private final CurrentSettings settings;
    private final Map<String, TrackedServer> servers = new LinkedHashMap<>();
    private final ServerNameMemory names = new ServerNameMemory();

    /** In ring order, once {@link RingPlacement} has sorted them. */
    private final List<TrackedServer> ready = new ArrayList<>();

    private double totalWeight;
    private double meanWeight = 1;

    ServerTable(CurrentSettings settings) {
        this.settings = settings;
    }

    /** The server with this ID, or null. */
    TrackedServer get(String id) {
        return servers.get(id);
    }

    void add(TrackedServer server) {
        servers.put(server.id, server);
    }

    void remove(TrackedServer server) {
        servers.remove(server.id);
    }

    /** Remembers that a list has named a server. */
    void rememberName(String id) {
        names.add(id);
    }

    /** Whether a list has ever named a server, gone or not. */
    boolean hasNamed(String id) {
        return names.contains(id);
    }

    Collection<TrackedServer> all() {
        return servers.values();
    }

    /** The servers that are ready, as of the last {@link #refreshReady}. */
    List<TrackedServer> ready() {
        return ready;
    }

    /** Recomputes the ready servers and their mean weight. */
    void refreshReady() {
        ready.clear();
        servers.values().stream().filter(TrackedServer::isReady).forEach(ready::add);
        totalWeight = ready.stream().mapToDouble(server -> server.entry.weight()).sum();
        meanWeight = ready.isEmpty() || totalWeight <= 0 ? 1 : totalWeight / ready.size();
    }

    void sortReady(Comparator<TrackedServer> order) {
        ready.sort(order);
    }

    /**
     * The capacity of all ready servers: their total weight, or their number if no weight is known.
     */
    double readyCapacity() {
        return totalWeight > 0 ? totalWeight : ready.size();
    }

    /** A server's weight as a multiple of the mean; 1 if weights are not used or not known. */
    double relativeWeight(TrackedServer server) {
        return settings.get().weighted() && server.entry.weight() > 0
                ? server.entry.weight() / meanWeight
                : 1;
    }
}
