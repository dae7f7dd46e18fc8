package poppynotch.balancer;

/** What a warm server is taken to hold, over all balancers, before anything is learned of it. */
final class InitialServerLoad {

    /** Calls that a server works on at once: two a core. */
    static final double CALLS_AT_WORK = 4;

    private InitialServerLoad() {}

    /**
     * Calls in flight to a server when it works on {@link #CALLS_AT_WORK} of them: a call is at
     * work there for a part of its time only, the rest it waits for lower tiers.
     */
    static double callsInFlight(BalancerSettings settings) {
        return CALLS_AT_WORK * (settings.tiers() - settings.tier());
    }
}
