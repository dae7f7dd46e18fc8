package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Ranks of slots and the order in which calls take them. */
class ServerRankingTest {

    @Test
    void takesLowestRankedFreeSlotsInOrder() {
        int balancers = 5;
        int ownIndex = 2;
        Fixture f = Fixture.of(balancers, ownIndex, 1).list(Fixture.servers(4));
        record Slot(String server, double rank) {}
        List<String> inHashOrder =
                Fixture.servers(4).stream()
                        .map(Server::id)
                        .sorted(Comparator.comparingLong(Fixture::hash))
                        .toList();
        List<Slot> expected = new ArrayList<>();
        for (int server = 0; server < 4; server++) {
            double ringPosition = balancers * (1 - server / 4.0);
            for (int number = 0; number < 4; number++) {
                expected.add(
                        new Slot(
                                inHashOrder.get(server),
                                number * balancers + (ownIndex + ringPosition) % balancers));
            }
        }
        expected.sort(Comparator.comparingDouble(Slot::rank));
        for (int i = 0; i < 12; i++) {
            f.request(Fixture.REPEATABLE);
            assertEquals(expected.get(i).server(), f.host.last().server(), "call " + i);
        }
    }

    @Test
    void breaksRankTiesByLowerHash() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(6));
        f.request(Fixture.REPEATABLE);
        String lowest =
                Fixture.servers(6).stream()
                        .map(Server::id)
                        .min(Comparator.comparingLong(Fixture::hash))
                        .orElseThrow();
        assertEquals(lowest, f.host.last().server());
    }
}
