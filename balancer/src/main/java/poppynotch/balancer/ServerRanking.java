package poppynotch.balancer;

/**
 * Ranks slots: calls take the slot of the lowest rank first. The ranks of all balancers interleave,
 * so that together they fill all servers evenly.
 */
final class ServerRanking {

    /**
     * A server that costs a multiple of the usual is put back by this part of a round of ranks for
     * each such multiple, its lowest slots too.
     */
    private static final double ROUNDS_BACK_PER_EXCESS_COST = 0.5;

    /** Before all others. */
    private static final double FIRST_RANK = -1;

    private final CurrentSettings settings;
    private final ServerTable servers;

    ServerRanking(CurrentSettings settings, ServerTable servers) {
        this.settings = settings;
        this.servers = servers;
    }

    /**
     * The rank a slot is used by: the base rank times the server's cost. That hardly moves the
     * lowest ranks, so a cost above the usual also moves the server back as a whole. A server that
     * is due for the next call is first.
     */
    double rank(Slot slot) {
        if (slot.server.nextCallDue) {
            return FIRST_RANK;
        }
        double cost = slot.server.cost;
        return (baseRank(slot) + 0.5) * cost
                + Math.max(0, cost - 1) * settings.get().balancers() * ROUNDS_BACK_PER_EXCESS_COST;
    }

    /**
     * How many calls the server holds if every balancer uses its slots up to this one. A larger
     * server takes more calls for the same crowding.
     */
    double baseRank(Slot slot) {
        int balancers = settings.get().balancers();
        return slot.number * balancers / servers.relativeWeight(slot.server)
                + (settings.get().ownIndex() + slot.server.ringPosition) % balancers;
    }
}
