package poppynotch.balancer;

/** The load that a warm server is assumed to hold, over all balancers, until outcomes are known. */
final class InitialServerLoad {

    /** Calls that a server executes at once: two per core. */
    static final double EXECUTING_CALLS = 4;

    private InitialServerLoad() {}

    /**
     * Calls in flight to a server that executes {@link #EXECUTING_CALLS}: a call executes there for
     * only part of its time, and waits for lower tiers for the rest.
     */
    static double callsInFlight(BalancerSettings settings) {
        return EXECUTING_CALLS * (settings.tiers() - settings.tier());
    }
}
