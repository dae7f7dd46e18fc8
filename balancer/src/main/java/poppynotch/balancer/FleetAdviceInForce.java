package poppynotch.balancer;

/**
 * Applies the fleet's current advice: which servers are staged, which are to be ejected, and which
 * fraction of calls goes to staged servers.
 */
final class FleetAdviceInForce {

    /** The number of values of a {@link StableHash}. */
    private static final double HASH_RANGE = 0x1p32;

    private final ServerTable servers;
    private final OutlierDetector outliers;
    private FleetAdvice advice = FleetAdvice.NONE;

    FleetAdviceInForce(ServerTable servers, OutlierDetector outliers) {
        this.servers = servers;
        this.outliers = outliers;
    }

    FleetAdvice get() {
        return advice;
    }

    /**
     * Replaces the current advice. Servers that it names unhealthy are paused until it expires, and
     * stay on probation until enough calls to them have succeeded.
     */
    void apply(double nowMs, FleetAdvice newAdvice) {
        advice = newAdvice;
        servers.all().forEach(server -> server.staged = isStaged(server));
        for (TrackedServer server : servers.ready()) {
            if (newAdvice.unhealthy().contains(server.id)) {
                outliers.ejectOnAdvice(nowMs, server, newAdvice.untilMs());
            }
        }
    }

    /** Drops the advice if it has expired. */
    void expire(double nowMs) {
        if (nowMs >= advice.untilMs() && advice != FleetAdvice.NONE) {
            apply(nowMs, FleetAdvice.NONE);
        }
    }

    boolean isStaged(TrackedServer server) {
        return advice.staged().contains(server.id);
    }

    /**
     * Whether a call goes to staged servers. Decided by the hash of the request's ID: even a small
     * fraction thus holds over all balancers, however few calls each one has.
     */
    boolean isStagedCall(String request) {
        return advice.stagedFraction() > 0
                && StableHash.of(request) < advice.stagedFraction() * HASH_RANGE;
    }
}
