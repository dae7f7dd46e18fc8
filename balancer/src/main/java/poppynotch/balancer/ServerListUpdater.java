package poppynotch.balancer;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Applies server lists from discovery, and maintenance by operators. */
final class ServerListUpdater {

    private final ServerTable servers;
    private final MaintenanceTable maintenance;
    private final ServerUpdater updater;
    private final ReadyServersRefresher readyServers;

    ServerListUpdater(
            ServerTable servers,
            MaintenanceTable maintenance,
            ServerUpdater updater,
            ReadyServersRefresher readyServers) {
        this.servers = servers;
        this.maintenance = maintenance;
        this.updater = updater;
        this.readyServers = readyServers;
    }

    /** Applies a list; servers that are missing from a complete list are gone. */
    void apply(double nowMs, ServerListKind kind, List<Server> entries) {
        if (kind == ServerListKind.DELTA && entries.isEmpty()) {
            return;
        }
        if (kind != ServerListKind.DELTA) {
            markMissingAsGone(nowMs, entries);
        }
        entries.forEach(entry -> updater.update(nowMs, entry));
        readyServers.refresh(nowMs);
    }

    private void markMissingAsGone(double nowMs, List<Server> entries) {
        Set<String> listed = entries.stream().map(Server::id).collect(Collectors.toSet());
        for (TrackedServer server : List.copyOf(servers.all())) {
            if (!listed.contains(server.id)) {
                Server announced = server.announced;
                updater.update(
                        nowMs,
                        announced.withStateAndStart(ServerState.GONE, announced.startedMs()));
            }
        }
    }

    /** Starts or ends a server's maintenance; after its end the next call goes there. */
    void setMaintenance(double nowMs, String id, boolean inMaintenance) {
        boolean changed = maintenance.set(nowMs, id, inMaintenance);
        TrackedServer server = servers.get(id);
        if (changed && server != null) {
            server.nextCallDue = !inMaintenance;
            updater.update(nowMs, server.announced);
            readyServers.refresh(nowMs);
        }
    }
}
