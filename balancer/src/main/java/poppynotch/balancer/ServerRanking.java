package poppynotch.balancer;

/**
 * Ranks slots: calls take the slot with the lowest rank first. The ranks of all balancers
 * interleave, so that together they fill all servers evenly.
 */
final class ServerRanking {

    /**
     * The rank penalty of all slots of a server per unit of cost above 1, in rounds of one slot of
     * each balancer.
     */
    private static final double PENALTY_ROUNDS_PER_COST = 0.5;

    /** Lower than all other ranks. */
    private static final double FIRST_RANK = -1;

    private final CurrentSettings settings;
    private final ServerTable servers;

    ServerRanking(CurrentSettings settings, ServerTable servers) {
        this.settings = settings;
        this.servers = servers;
    }

    /**
     * The rank by which slots are ordered: the base rank times the server's cost. As this hardly
     * changes the lowest ranks, a cost above 1 adds a penalty to all of the server's slots. A
     * server that is due for the next call comes first.
     */
    double rank(Slot slot) {
        if (slot.server.nextCallDue) {
            return FIRST_RANK;
        }
        double cost = slot.server.cost;
        return (baseRank(slot) + 0.5) * cost
                + Math.max(0, cost - 1) * settings.get().balancers() * PENALTY_ROUNDS_PER_COST;
    }

    /**
     * The number of slots before this one if all balancers use their slots at the server in turn;
     * earlier rounds are divided by the server's relative weight, as a larger one can hold more.
     */
    double baseRank(Slot slot) {
        int balancers = settings.get().balancers();
        return slot.number * balancers / servers.relativeWeight(slot.server)
                + (settings.get().ownIndex() + slot.server.ringPosition) % balancers;
    }
}
