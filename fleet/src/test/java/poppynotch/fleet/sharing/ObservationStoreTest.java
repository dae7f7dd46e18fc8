package poppynotch.fleet.sharing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests merging, ageing and eviction of observations, and the health consensus that uses them.
 * Guards against stores that diverge, stale observations, and servers ejected by mistake.
 */
class ObservationStoreTest {

    private static final double MAX_AGE_MS = 10_000;

    private static ObservationStore store() {
        return new ObservationStore("me", 1, MAX_AGE_MS, 1000);
    }

    private static Observation observation(
            String origin, String server, long version, int attempts, int failures) {
        return new Observation(server, origin, 1, version, attempts, 0, failures, 0, 0);
    }

    /** Stores are equal whatever the order and number of times that observations arrive in. */
    @Test
    void mergesInAnyOrderAndRepeatedlyToSameState() {
        Random random = new Random(3);
        for (int round = 0; round < 300; round++) {
            List<Observation> sent = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                long version = 1L + random.nextInt(5);
                long run = 1L + random.nextInt(2);
                String origin = "o" + random.nextInt(3);
                // One origin never sends two different observations with the same version.
                int attempts = (int) (run * 100 + version * 7);
                sent.add(
                        new Observation(
                                "s" + random.nextInt(3),
                                origin,
                                run,
                                version,
                                attempts,
                                0,
                                0,
                                0,
                                0));
            }
            ObservationStore first = store();
            sent.forEach(observation -> first.merge(0, observation, 0));
            List<Observation> shuffled = new ArrayList<>(sent);
            shuffled.addAll(sent.subList(0, 5));
            Collections.shuffle(shuffled, random);
            ObservationStore second = store();
            shuffled.forEach(observation -> second.merge(0, observation, 0));
            for (int server = 0; server < 3; server++) {
                assertEquals(
                        first.observationsOf(0, "s" + server),
                        second.observationsOf(0, "s" + server),
                        sent.toString());
            }
        }
    }

    @Test
    void ageIncludesTransitAndStorageTimeAndIsBounded() {
        ObservationStore store = store();
        store.merge(100, observation("a", "s", 1, 5, 5).withAgeMs(2000), 300);
        assertEquals(2300 + 400, store.observationsOf(500, "s").get(0).ageMs());
        assertEquals(
                2300 + 400,
                store.takeForMessage(500, 1000, 3).get(0).ageMs(),
                "it is forwarded with its age");
        assertEquals(1, store.observationsOf(100 + MAX_AGE_MS - 2300, "s").size());
        assertEquals(List.of(), store.observationsOf(101 + MAX_AGE_MS - 2300, "s"));
        assertFalse(
                store.merge(0, observation("b", "s", 1, 5, 5).withAgeMs(MAX_AGE_MS - 100), 101),
                "too old on arrival");
        assertEquals(1, store.expiredOnArrival());
    }

    @Test
    void rejectsAndCountsImplausibleObservations() {
        ObservationStore store = store();
        for (Observation implausible :
                List.of(
                        observation("a", "s", 1, 5, 6),
                        observation("a", "s", 0, 5, 5),
                        observation("a", "s", 1, -1, 0),
                        observation("a", "s", 1, Integer.MAX_VALUE, 0),
                        observation("a", "s", 1, 5, 5).withAgeMs(-1),
                        new Observation(
                                "s", "a", 1, 1, 4, Integer.MAX_VALUE, Integer.MAX_VALUE, 4, 0))) {
            assertFalse(store.merge(0, implausible, 0), implausible.toString());
        }
        assertEquals(6, store.rejected());
        assertEquals(0, store.size());
    }

    @Test
    void evictsOldestObservationWhenFull() {
        ObservationStore store = new ObservationStore("me", 1, MAX_AGE_MS, 10);
        for (int i = 0; i < 25; i++) {
            store.merge(i, observation("o" + i, "s", 1, 5, 0), 0);
        }
        assertEquals(10, store.size());
        assertEquals(15, store.evicted());
        assertTrue(
                store.observationsOf(25, "s").stream()
                        .noneMatch(observation -> observation.origin().equals("o14")));
    }

    private static final List<String> TIER = IntStream.range(0, 10).mapToObj(i -> "s" + i).toList();

    private static Set<String> unhealthyServers(ObservationStore store) {
        return HealthConsensus.unhealthyServers(0, store, TIER, "me", Set.of());
    }

    @Test
    void ejectsServerOnlyAfterSeveralObserversSeeFailures() {
        ObservationStore store = store();
        store.merge(0, observation("a", "s1", 1, 9, 9), 0);
        store.merge(0, observation("b", "s1", 1, 9, 9), 0);
        assertEquals(Set.of(), unhealthyServers(store));
        store.merge(0, observation("c", "s1", 1, 9, 9), 0);
        assertEquals(Set.of("s1"), unhealthyServers(store));
        store.merge(0, observation("d", "s1", 1, 9, 0), 0);
        store.merge(0, observation("e", "s1", 1, 9, 0), 0);
        store.merge(0, observation("f", "s1", 1, 9, 0), 0);
        store.merge(0, observation("g", "s1", 1, 9, 0), 0);
        assertEquals(Set.of(), unhealthyServers(store), "more of them observe it to succeed");
    }

    @Test
    void addsUpFewCallsOfManyObservers() {
        ObservationStore store = store();
        for (String observer : List.of("a", "b", "c", "d", "e")) {
            store.merge(0, observation(observer, "s1", 1, 1, 1), 0);
        }
        assertEquals(Set.of(), unhealthyServers(store), "five calls are too few");
        store.merge(0, observation("f", "s1", 1, 1, 1), 0);
        assertEquals(Set.of("s1"), unhealthyServers(store));
    }

    @Test
    void ignoresObserverThatSeesMostServersFailing() {
        ObservationStore store = store();
        for (String observer : List.of("a", "b", "c")) {
            for (int i = 0; i < 6; i++) {
                store.merge(0, observation(observer, "s" + i, 1 + i, 9, 9), 0);
            }
            for (int i = 6; i < 10; i++) {
                store.merge(0, observation(observer, "s" + i, 1 + i, 9, 0), 0);
            }
        }
        assertEquals(Set.of(), unhealthyServers(store));
    }

    @Test
    void limitsEjectedFractionAndTrustsOwnSuccess() {
        ObservationStore store = store();
        for (int i = 0; i < 10; i++) {
            for (int observer = 0; observer < 4; observer++) {
                store.merge(0, observation("o" + i + "-" + observer, "s" + i, 1, 9, 9), 0);
            }
        }
        assertEquals(3, unhealthyServers(store).size(), "three in ten of the tier");
        unhealthyServers(store).forEach(server -> store.recordLocal(0, server, 4, 0, 0, 0));
        assertTrue(
                unhealthyServers(store).stream()
                        .noneMatch(
                                server ->
                                        store.observationsOf(0, server).stream()
                                                .anyMatch(
                                                        observation ->
                                                                observation
                                                                        .origin()
                                                                        .equals("me"))));
    }
}
