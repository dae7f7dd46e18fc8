package poppynotch.balancer;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Applies lists of servers from discovery, and maintenance by operators. */
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

    /** Takes over a list; servers that a complete list does not name are gone. */
    void apply(double nowMs, ServerListKind kind, List<Server> entries) {
        if (kind == ServerListKind.DELTA && entries.isEmpty()) {
            return;
        }
        if (kind != ServerListKind.DELTA) {
            updateMissing(nowMs, entries);
        }
        entries.forEach(entry -> updater.update(nowMs, entry));
        readyServers.refresh(nowMs);
    }

    private void updateMissing(double nowMs, List<Server> entries) {
        Set<String> named = entries.stream().map(Server::id).collect(Collectors.toSet());
        for (TrackedServer server : List.copyOf(servers.all())) {
            if (!named.contains(server.id)) {
                Server announced = server.announced;
                updater.update(
                        nowMs,
                        announced.withStateAndStart(ServerState.GONE, announced.startedMs()));
            }
        }
    }

    /** Takes a server out of service, or lets it serve again: then the next call goes there. */
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
