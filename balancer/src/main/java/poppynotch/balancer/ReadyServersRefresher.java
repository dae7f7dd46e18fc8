package poppynotch.balancer;

/** Updates everything that depends on the set of ready servers after a change of the set. */
final class ReadyServersRefresher {

    private final ServerTable servers;
    private final UsableCapacity usableCapacity;
    private final LocalityRouting locality;
    private final ConcurrencyLimiter limiter;
    private final RingPlacement placement;
    private final SlotPool pool;

    ReadyServersRefresher(
            ServerTable servers,
            UsableCapacity usableCapacity,
            LocalityRouting locality,
            ConcurrencyLimiter limiter,
            RingPlacement placement,
            SlotPool pool) {
        this.servers = servers;
        this.usableCapacity = usableCapacity;
        this.locality = locality;
        this.limiter = limiter;
        this.placement = placement;
        this.pool = pool;
    }

    void refresh(double nowMs) {
        usableCapacity.markStale();
        servers.refreshReady();
        locality.useServers(servers.ready());
        limiter.onServersChanged();
        placement.assignPositions();
        pool.updateRanks();
        servers.ready().forEach(server -> pool.offerSpare(nowMs, server));
    }
}
