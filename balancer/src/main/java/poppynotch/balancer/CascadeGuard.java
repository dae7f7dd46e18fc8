package poppynotch.balancer;

/**
 * Guards against a cascade: calls that leave a server crowded by all must not crowd the next. While
 * answers are slow no server may hold many more calls, over all balancers, than the limit stands
 * for.
 */
final class CascadeGuard {

    /** While answers are slow, a server may hold this multiple of what the limit stands for. */
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

    /** Whether a new call on this slot would be too many at its server now. */
    boolean blocks(Slot slot) {
        return settings.get().tier() == 0
                && limiter.isStrained()
                && ranking.baseRank(slot) >= maxCallsPerServer();
    }

    private double maxCallsPerServer() {
        return Math.max(
                InitialServerLoad.CALLS_AT_WORK,
                MAX_MULTIPLE_OF_LIMIT
                        * Math.max(1, limiter.limit())
                        * settings.get().balancers()
                        / servers.ready().size());
    }
}
