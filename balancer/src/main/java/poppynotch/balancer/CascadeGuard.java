package poppynotch.balancer;

/**
 * Prevents cascading overload: calls that move away from one overloaded server must not overload
 * the next. While responses are slow, the calls of all balancers at a server are bounded by a
 * multiple of the server's part of the limit.
 */
final class CascadeGuard {

    /** The bound while responses are slow, as a multiple of a server's part of the limit. */
    private static final double MAX_MULTIPLE_OF_LIMIT = 2;

    private final CurrentSettings settings;
    private final ServerTable servers;
    private final ServerRanking ranking;
    private final ConcurrencyLimiter limiter;

    CascadeGuard(
            CurrentSettings settings,
            ServerTable servers,
            ServerRanking ranking,
            ConcurrencyLimiter limiter) {
        this.settings = settings;
        this.servers = servers;
        this.ranking = ranking;
        this.limiter = limiter;
    }

    /** Whether a new call on this slot would exceed the bound of its server. */
    boolean blocks(Slot slot) {
        return settings.get().tier() == 0
                && limiter.isStrained()
                && ranking.baseRank(slot) >= maxCallsPerServer();
    }

    private double maxCallsPerServer() {
        return Math.max(
                InitialServerLoad.EXECUTING_CALLS,
                MAX_MULTIPLE_OF_LIMIT
                        * Math.max(1, limiter.limit())
                        * settings.get().balancers()
                        / servers.ready().size());
    }
}
