package poppynotch.balancer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Gives the ready servers their positions on the ring of balancers, so that the first slots of all
 * balancers are spread over all servers by weight without any communication between balancers.
 */
final class RingPlacement {

    /** Any large odd number: its powers put the servers of each ring into another order. */
    private static final long RING_MIX = 0x9E3779B1L;

    private final CurrentSettings settings;
    private final ServerTable servers;

    RingPlacement(CurrentSettings settings, ServerTable servers) {
        this.settings = settings;
        this.servers = servers;
    }

    /** Sorts the ready servers into ring order and sets their positions. */
    void assignPositions() {
        servers.sortReady(
                Comparator.comparingLong(this::ringOrder).thenComparing(server -> server.id));
        assignArcs(servers.ready());
    }

    /**
     * Where a server stands on this balancer's ring. Where balancers outnumber servers they use
     * several rings in turn, each with the servers in another order: those that leave a full, slow
     * or warming server then go to several others, and not all to the next one, which would be the
     * next to be crowded.
     */
    private long ringOrder(TrackedServer server) {
        int balancersPerServer = settings.get().balancers() / Math.max(1, servers.ready().size());
        int rings = Integer.highestOneBit(Math.max(1, balancersPerServer));
        long scatter = 1;
        for (int i = settings.get().ownIndex() % rings; i > 0; i--) {
            scatter *= RING_MIX;
        }
        return server.hash * scatter & 0xffffffffL;
    }

    /**
     * Gives each zone's servers their positions: in ring order, each with an arc as wide as its
     * weight. Positions taken from the hash alone would leave arcs of very unequal width, and where
     * balancers are many and have few calls, each puts nearly all on the server whose arc it is in.
     */
    private void assignArcs(List<TrackedServer> inOrder) {
        Map<Integer, Double> zoneWeights = new HashMap<>();
        for (TrackedServer server : inOrder) {
            zoneWeights.merge(server.entry.zone(), servers.relativeWeight(server), Double::sum);
        }
        Map<Integer, Double> weightsBefore = new HashMap<>();
        for (TrackedServer server : inOrder) {
            int zone = server.entry.zone();
            double before = weightsBefore.getOrDefault(zone, 0.0);
            server.ringPosition = settings.get().balancers() * (1 - before / zoneWeights.get(zone));
            weightsBefore.put(zone, before + servers.relativeWeight(server));
        }
    }
}
