package poppynotch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.wire.Addresses;

/** Where hollow members stand, at any size. */
class PlacesTest {

    private static final int[] SIZES = {5, 12, 24, 54, 108, 215, 430, 860, 1720, Places.MOST};

    @Test
    void everyMemberHasANameAndAnAddressOfItsOwnThatTellsItsZoneAndRack() {
        for (int size : SIZES) {
            Set<String> taken = new HashSet<>();
            for (Places.Member member : Places.of(size).members()) {
                assertTrue(
                        taken.add(member.name()) && taken.add(member.address()), member::toString);
                assertTrue(Addresses.isAddress(member.address() + ":1"), member::toString);
                assertTrue(
                        member.address().startsWith(Places.prefix(member.zone())),
                        member::toString);
                assertTrue(member.address().startsWith(member.rackPrefix()), member::toString);
                assertTrue(
                        !member.address().startsWith("127.11.200."),
                        "real ones stand there: " + member);
            }
            assertEquals(2 * size, taken.size());
        }
    }

    @Test
    void zonesAreEvenAndRacksHold24AtMost() {
        for (int size : SIZES) {
            Map<String, Integer> zones = new TreeMap<>();
            Map<String, Integer> racks = new TreeMap<>();
            Places.of(size)
                    .members()
                    .forEach(
                            member -> {
                                zones.merge(member.zone(), 1, Integer::sum);
                                racks.merge(member.rackPrefix(), 1, Integer::sum);
                            });
            assertEquals(5, zones.size());
            int most = zones.values().stream().max(Integer::compare).orElseThrow();
            assertTrue(zones.values().stream().allMatch(n -> n >= most - 1), zones::toString);
            assertTrue(racks.values().stream().allMatch(n -> n <= 24), racks::toString);
        }
        assertEquals(24, Places.of(1720).of("z2", 1).size());
    }

    @Test
    void servicesHaveAboutTenNodosInAllZonesAndCallersOfTheSameNumber() {
        for (int size : SIZES) {
            Places places = Places.of(size);
            Map<Integer, Set<String>> zones = new TreeMap<>();
            Map<Integer, Integer> nodos = new TreeMap<>();
            places.members()
                    .forEach(
                            member -> {
                                nodos.merge(member.service(), 1, Integer::sum);
                                zones.computeIfAbsent(member.service(), s -> new HashSet<>())
                                        .add(member.zone());
                            });
            assertEquals(places.services(), nodos.size());
            assertTrue(
                    nodos.values().stream().allMatch(n -> n >= Math.min(size, 10) && n < 20),
                    nodos::toString);
            assertTrue(zones.values().stream().allMatch(all -> all.size() == 5), zones::toString);
            nodos.keySet()
                    .forEach(
                            service ->
                                    assertEquals(
                                            nodos.get(
                                                            (service + places.services() - 1)
                                                                    % places.services())
                                                    .longValue(),
                                            places.callers(service)));
        }
    }

    @Test
    void aSizeWithoutPlacesIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Places.of(4));
        assertThrows(IllegalArgumentException.class, () -> Places.of(Places.MOST + 1));
        assertEquals("r2", Places.region("z4"));
        assertEquals("r1", Places.region(Places.REAL_ZONE));
    }
}
