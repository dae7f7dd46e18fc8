package poppynotch.balancer;

/**
 * The fraction of the ready servers' capacity that can be used: that of servers on probation can
 * not. The servers left over must not get the calls of all until answers show that they are
 * crowded: where servers slow down when crowded, that is too late.
 */
final class UsableCapacity {

    private final ServerTable servers;
    private double fraction = 1;

    /** A server has come on probation or off it, or the list is another, since the last refresh. */
    private boolean stale;

    UsableCapacity(ServerTable servers) {
        this.servers = servers;
    }

    void markStale() {
        stale = true;
    }

    /** Works the fraction out anew, if it is stale. */
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
