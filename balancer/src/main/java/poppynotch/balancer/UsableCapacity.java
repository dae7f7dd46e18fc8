package poppynotch.balancer;

/**
 * The fraction of the ready servers' capacity that is usable, which is that of servers not on
 * probation. The limit follows it at once: the other servers would otherwise get the calls of
 * ejected ones until slow responses show that they are overloaded, which is too late.
 */
final class UsableCapacity {

    private final ServerTable servers;
    private double fraction = 1;

    /** A probation has begun or ended, or the list has changed, since the last refresh. */
    private boolean stale;

    UsableCapacity(ServerTable servers) {
        this.servers = servers;
    }

    void markStale() {
        stale = true;
    }

    /** Recomputes the fraction, if it is stale. */
    void refresh() {
        if (!stale) {
            return;
        }
        stale = false;
        int count = servers.ready().size();
        double usable =
                servers.ready().stream()
                        .mapToDouble(
                                server -> server.onProbation ? 0 : servers.relativeWeight(server))
                        .sum();
        fraction = count == 0 ? 1 : Math.max(1, usable) / count;
    }

    /** The fraction as of the last refresh. */
    double fraction() {
        return fraction;
    }
}
