package poppynotch.balancer;

/** Removes servers that are gone, once the last attempt at them has ended. */
final class ServerRemover {

    private final ServerTable servers;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;

    ServerRemover(ServerTable servers, OutlierDetector outliers, SlowStart slowStart) {
        this.servers = servers;
        this.outliers = outliers;
        this.slowStart = slowStart;
    }

    void removeIfGone(TrackedServer server) {
        if (server.entry.state() == ServerState.GONE && server.inFlight == 0) {
            servers.remove(server);
            outliers.forget(server);
            slowStart.forget(server);
        }
    }
}
