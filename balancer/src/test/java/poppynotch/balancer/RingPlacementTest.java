package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** How the first slots of all balancers are spread over the servers. */
class RingPlacementTest {

    @Test
    void spreadsFirstSlotsOfAllBalancersByWeight() {
        Map<String, Integer> firsts = new HashMap<>();
        List<Server> servers = new ArrayList<>(Fixture.servers(8));
        servers.set(3, new Server("s3", 0, 0, 0, 0, ServerState.READY, 3));
        for (int index = 0; index < 200; index++) {
            Fixture f = Fixture.of(200, index, 1).list(servers);
            f.request(Fixture.REPEATABLE);
            firsts.merge(f.host.last().server(), 1, Integer::sum);
        }
        for (Server server : servers) {
            // Each of the sixteen rings is rounded to whole balancers separately.
            assertEquals(20 * server.weight(), firsts.get(server.id()), 4, server.id());
        }
    }

    /**
     * Guards against a single neighbour that gets all calls of a server that is full, slow or cold
     * (h68f2a6).
     */
    @Test
    void spreadsCallsThatLeaveAServerOverSeveralOthers() {
        List<String> before = Fixture.firstServersOfBalancers(Fixture.servers(8), Set.of());
        List<String> after = Fixture.firstServersOfBalancers(Fixture.servers(8), Set.of("s2"));
        Set<String> nextServers = new HashSet<>();
        for (int index = 0; index < 200; index++) {
            if (before.get(index).equals("s2")) {
                nextServers.add(after.get(index));
            }
        }
        assertTrue(nextServers.size() >= 4, "all went to " + nextServers);
    }
}
