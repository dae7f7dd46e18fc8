package poppynotch.balancer;

/**
 * The advice of the fleet that is in force at this balancer: which servers are staged, which are to
 * be held back, and which fraction of calls goes to staged servers.
 */
final class FleetAdviceInForce {

    /** One more than the highest hash. */
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
     * Puts advice into force in place of what was. Servers to be held back are on probation for as
     * long as it is valid, and until they have answered.
     */
    void apply(double nowMs, FleetAdvice given) {
        advice = given;
        servers.all().forEach(server -> server.staged = isStaged(server));
        for (TrackedServer server : servers.ready()) {
            if (given.unhealthy().contains(server.id)) {
                outliers.ejectOnAdvice(nowMs, server, given.untilMs());
            }
        }
    }

    /** Ends advice whose time is over. */
    void expire(double nowMs) {
        if (nowMs >= advice.untilMs() && advice != FleetAdvice.NONE) {
            apply(nowMs, FleetAdvice.NONE);
        }
    }

    boolean isStaged(TrackedServer server) {
        return advice.staged().contains(server.id);
    }

    /**
     * Whether a call goes to staged servers. By the hash of its name: a small fraction is as small
     * over all balancers, however few calls each has.
     */
    boolean isStagedCall(String request) {
        return advice.stagedFraction() > 0
                && StableHash.of(request) < advice.stagedFraction() * HASH_RANGE;
    }
}
