package poppynotch.balancer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns the ready servers their positions on the ring of balancers, so that the first slots of
 * all balancers are spread over all servers by weight without communication between balancers.
 */
final class RingPlacement {

    /** Any large odd number; each power of it gives a different server order. */
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
     * The sort key of a server on this balancer's ring. If there are several balancers per server,
     * their indexes divide them among rings with different server orders: balancers that leave a
     * full, slow or warming server then go to several others, not all to the next one.
     */
    private long ringOrder(TrackedServer server) {
        int balancersPerServer = settings.get().balancers() / Math.max(1, servers.ready().size());
        int rings = Integer.highestOneBit(Math.max(1, balancersPerServer));
        long multiplier = 1;
        for (int i = settings.get().ownIndex() % rings; i > 0; i--) {
            multiplier *= RING_MIX;
        }
        return server.hash * multiplier & 0xffffffffL;
    }

    /**
     * Sets the positions of each zone's servers in ring order, each with an arc as wide as its
     * weight. Positions by hash alone would give very unequal arcs, and a balancer with few calls
     * sends nearly all of its calls to the server whose arc it is in.
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
