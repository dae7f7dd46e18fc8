package poppynotch.balancer;

/** Applies an announced entry to the state of its server. */
final class ServerUpdater {

    private final ServerTable servers;
    private final MaintenanceTable maintenance;
    private final FleetAdviceInForce advice;
    private final SlotPool pool;
    private final ServerCostEstimator costs;
    private final SlowStart slowStart;
    private final ServerRemover remover;

    ServerUpdater(
            ServerTable servers,
            MaintenanceTable maintenance,
            FleetAdviceInForce advice,
            SlotPool pool,
            ServerCostEstimator costs,
            SlowStart slowStart,
            ServerRemover remover) {
        this.servers = servers;
        this.maintenance = maintenance;
        this.advice = advice;
        this.pool = pool;
        this.costs = costs;
        this.slowStart = slowStart;
        this.remover = remover;
    }

    /** Applies an entry. The ready servers must be refreshed after it. */
    void update(double nowMs, Server announced) {
        servers.rememberName(announced.id());
        Server entry = maintenance.apply(announced);
        TrackedServer server = servers.get(entry.id());
        if (server == null) {
            if (entry.state() == ServerState.GONE) {
                return;
            }
            server = new TrackedServer(entry);
            servers.add(server);
        } else if (entry.startedMs() != server.entry.startedMs()) {
            // A new process: the previous one's behavior no longer counts, and it has to warm up.
            server.resetBehavior();
            pool.discardAllButLastOf(server);
        }
        server.entry = entry;
        server.announced = announced;
        server.staged = advice.isStaged(server);
        slowStart.track(nowMs, server);
        if (!server.isReady()) {
            pool.discardAllOf(server);
        }
        costs.updateRanks(nowMs, server);
        remover.removeIfGone(server);
    }
}
