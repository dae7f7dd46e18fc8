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

/** What a store makes of what it hears, and what verdict comes of it. */
class ObservationStoreTest {

    private static final double BOUND_MS = 10_000;

    private static ObservationStore store() {
        return new ObservationStore("me", 1, BOUND_MS, 1000);
    }

    private static Observation of(
            String origin, String server, long version, int attempts, int failures) {
        return new Observation(server, origin, 1, version, attempts, 0, failures, 0, 0);
    }

    /** Whatever order and however often sightings come, all stores end up the same. */
    @Test
    void mergesInAnyOrderAndRepeatedlyToSameState() {
        Random random = new Random(3);
        for (int round = 0; round < 300; round++) {
            List<Observation> told = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                long version = 1 + random.nextInt(5);
                long run = 1 + random.nextInt(2);
                String origin = "o" + random.nextInt(3);
                // One origin never tells two things under one number.
                int attempts = (int) (run * 100 + version * 7);
                told.add(
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
            told.forEach(one -> first.hear(0, one, 0));
            List<Observation> shuffled = new ArrayList<>(told);
            shuffled.addAll(told.subList(0, 5));
            Collections.shuffle(shuffled, random);
            ObservationStore second = store();
            shuffled.forEach(one -> second.hear(0, one, 0));
            for (int s = 0; s < 3; s++) {
                assertEquals(first.of(0, "s" + s), second.of(0, "s" + s), told.toString());
            }
        }
    }

    @Test
    void ageIncludesTransitAndStorageTimeAndIsBounded() {
        ObservationStore store = store();
        store.hear(100, of("a", "s", 1, 5, 5).withAgeMs(2000), 300);
        assertEquals(2300 + 400, store.of(500, "s").get(0).ageMs());
        assertEquals(
                2300 + 400,
                store.takeForMessage(500, 1000, 3).get(0).ageMs(),
                "it is told on with its age");
        assertEquals(1, store.of(100 + BOUND_MS - 2300, "s").size());
        assertEquals(List.of(), store.of(101 + BOUND_MS - 2300, "s"));
        assertFalse(
                store.hear(0, of("b", "s", 1, 5, 5).withAgeMs(BOUND_MS - 100), 101),
                "too old when it comes");
        assertEquals(1, store.expiredOnArrival());
    }

    @Test
    void rejectsAndCountsImplausibleObservations() {
        ObservationStore store = store();
        for (Observation bad :
                List.of(
                        of("a", "s", 1, 5, 6),
                        of("a", "s", 0, 5, 5),
                        of("a", "s", 1, -1, 0),
                        of("a", "s", 1, Integer.MAX_VALUE, 0),
                        of("a", "s", 1, 5, 5).withAgeMs(-1),
                        new Observation(
                                "s", "a", 1, 1, 4, Integer.MAX_VALUE, Integer.MAX_VALUE, 4, 0))) {
            assertFalse(store.hear(0, bad, 0), bad.toString());
        }
        assertEquals(6, store.rejected());
        assertEquals(0, store.size());
    }

    @Test
    void evictsOldestObservationWhenFull() {
        ObservationStore store = new ObservationStore("me", 1, BOUND_MS, 10);
        for (int i = 0; i < 25; i++) {
            store.hear(i, of("o" + i, "s", 1, 5, 0), 0);
        }
        assertEquals(10, store.size());
        assertEquals(15, store.evicted());
        assertTrue(store.of(25, "s").stream().noneMatch(one -> one.origin().equals("o14")));
    }

    private static final List<String> TIER = IntStream.range(0, 10).mapToObj(i -> "s" + i).toList();

    private static Set<String> unhealthyServers(ObservationStore store) {
        return HealthConsensus.held(0, store, TIER, "me", Set.of());
    }

    @Test
    void ejectsServerOnlyAfterSeveralObserversSeeFailures() {
        ObservationStore store = store();
        store.hear(0, of("a", "s1", 1, 9, 9), 0);
        store.hear(0, of("b", "s1", 1, 9, 9), 0);
        assertEquals(Set.of(), unhealthyServers(store));
        store.hear(0, of("c", "s1", 1, 9, 9), 0);
        assertEquals(Set.of("s1"), unhealthyServers(store));
        store.hear(0, of("d", "s1", 1, 9, 0), 0);
        store.hear(0, of("e", "s1", 1, 9, 0), 0);
        store.hear(0, of("f", "s1", 1, 9, 0), 0);
        store.hear(0, of("g", "s1", 1, 9, 0), 0);
        assertEquals(Set.of(), unhealthyServers(store), "more of them see it serve");
    }

    @Test
    void addsUpFewCallsOfManyObservers() {
        ObservationStore store = store();
        for (String observer : List.of("a", "b", "c", "d", "e")) {
            store.hear(0, of(observer, "s1", 1, 1, 1), 0);
        }
        assertEquals(Set.of(), unhealthyServers(store), "five calls are too few");
        store.hear(0, of("f", "s1", 1, 1, 1), 0);
        assertEquals(Set.of("s1"), unhealthyServers(store));
    }

    @Test
    void ignoresObserverThatSeesMostServersFailing() {
        ObservationStore store = store();
        for (String observer : List.of("a", "b", "c")) {
            for (int i = 0; i < 6; i++) {
                store.hear(0, of(observer, "s" + i, 1 + i, 9, 9), 0);
            }
            for (int i = 6; i < 10; i++) {
                store.hear(0, of(observer, "s" + i, 1 + i, 9, 0), 0);
            }
        }
        assertEquals(Set.of(), unhealthyServers(store));
    }

    @Test
    void limitsEjectedFractionAndTrustsOwnSuccess() {
        ObservationStore store = store();
        for (int i = 0; i < 10; i++) {
            for (int observer = 0; observer < 4; observer++) {
                store.hear(0, of("o" + i + "-" + observer, "s" + i, 1, 9, 9), 0);
            }
        }
        assertEquals(3, unhealthyServers(store).size(), "three in ten of the tier");
        unhealthyServers(store).forEach(server -> store.saw(0, server, 4, 0, 0, 0));
        assertTrue(
                unhealthyServers(store).stream()
                        .noneMatch(
                                server ->
                                        store.of(0, server).stream()
                                                .anyMatch(one -> one.origin().equals("me"))));
    }
}
