package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import poppynotch.config.Route;
import poppynotch.config.RouteType;

/** Guards against traffic shares that deviate from the weights over few requests or many edges. */
class WeightedBackendSelectorTest {

    private static Route route(String name, double canaryWeight) {
        return new Route(
                name,
                "h",
                "/",
                RouteType.SAFE,
                1000,
                100,
                0,
                List.of(
                        new Route.WeightedBackend("stable", 100 - canaryWeight),
                        new Route.WeightedBackend("canary", canaryWeight)),
                2,
                true,
                false,
                0);
    }

    private static List<WeightedBackendSelector> edges(int count) {
        List<WeightedBackendSelector> edges = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            WeightedBackendSelector edge = new WeightedBackendSelector();
            edge.setEdgeNumber(i);
            edges.add(edge);
        }
        return edges;
    }

    private static boolean[] selectsCanary(
            WeightedBackendSelector edge, Route route, int requests) {
        boolean[] canary = new boolean[requests];
        for (int i = 0; i < requests; i++) {
            canary[i] = edge.select(route).equals("canary");
        }
        return canary;
    }

    /** The largest deviation from the weight in any run of {@code runLength} requests. */
    private static double largestDeviation(boolean[] canary, int runLength, double weight) {
        int[] sums = new int[canary.length + 1];
        for (int i = 0; i < canary.length; i++) {
            sums[i + 1] = sums[i] + (canary[i] ? 1 : 0);
        }
        return IntStream.rangeClosed(0, canary.length - runLength)
                .mapToDouble(
                        i ->
                                Math.abs(
                                        (sums[i + runLength] - sums[i]) / (double) runLength
                                                - weight))
                .max()
                .orElseThrow();
    }

    /** In any run of requests at one edge, the shares deviate by at most two requests. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 10, 25, 50, 90})
    void sharesOfOneEdgeFollowWeightsInEveryRun(double weight) {
        boolean[] canary = selectsCanary(edges(1).get(0), route("r", weight), 20_000);
        assertThat(largestDeviation(canary, 300, weight / 100)).isAtMost(2.01 / 300);
        assertThat(largestDeviation(canary, 20, weight / 100)).isAtMost(2.01 / 20);
    }

    /**
     * Distributes windows of 300 requests to 64 edges at random, fewer than five per edge. With an
     * independent random choice per request and equal weights, one window in ten would deviate by
     * 0.05 or more.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1, 10, 25, 50, 90})
    void sharesOfManyEdgesFollowWeightsOverFewRequests(double weight) {
        Route route = route("r", weight);
        int windows = 0;
        int deviatingWindows = 0;
        double largest = 0;
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<WeightedBackendSelector> edges = edges(64);
            boolean[] canary = new boolean[1500];
            for (int i = 0; i < canary.length; i++) {
                canary[i] = edges.get(random.nextInt(64)).select(route).equals("canary");
            }
            for (int start = 0; start < canary.length; start += 300) {
                boolean[] window = Arrays.copyOfRange(canary, start, start + 300);
                double deviation = largestDeviation(window, 300, weight / 100);
                largest = Math.max(largest, deviation);
                windows++;
                deviatingWindows += deviation >= 0.05 ? 1 : 0;
            }
        }
        assertThat(deviatingWindows).isAtMost(windows / 500);
        assertThat(largest).isLessThan(0.06);
    }

    /** Edges join and leave, which changes the edge numbers, while the weights change. */
    @Test
    void sharesFollowChangedWeightsAndEdgeNumbers() {
        for (int seed = 0; seed < 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<WeightedBackendSelector> edges = edges(20);
            int before = 300 + random.nextInt(300);
            for (int i = 0; i < before; i++) {
                edges.get(random.nextInt(edges.size())).select(route("r", 10));
            }
            edges.remove(random.nextInt(edges.size()));
            edges.remove(random.nextInt(edges.size()));
            edges.add(new WeightedBackendSelector());
            for (int i = 0; i < edges.size(); i++) {
                edges.get(i).setEdgeNumber(i);
            }
            boolean[] canary = new boolean[600];
            for (int i = 0; i < canary.length; i++) {
                canary[i] =
                        edges.get(random.nextInt(edges.size()))
                                .select(route("r", 40))
                                .equals("canary");
            }
            assertWithMessage("deviation from the weight with seed " + seed)
                    .that(largestDeviation(canary, 300, 0.4))
                    .isLessThan(0.05);
        }
    }

    @Test
    void selectsNoBackendOfWeightZero() {
        WeightedBackendSelector edge = edges(1).get(0);
        for (int i = 0; i < 5000; i++) {
            assertThat(edge.select(route("r", 0))).isEqualTo("stable");
            assertThat(edge.select(route("r", 100))).isEqualTo("canary");
        }
    }

    @Test
    void eachRouteHasItsOwnSequenceUntilRemoved() {
        WeightedBackendSelector edge = edges(1).get(0);
        boolean[] first = selectsCanary(edge, route("r", 50), 40);
        selectsCanary(edge, route("other", 50), 7);
        boolean[] next = selectsCanary(edge, route("r", 50), 40);
        assertThat(next).isNotEqualTo(first);
        edge.retainRoutes(Set.of("other"));
        assertThat(selectsCanary(edge, route("r", 50), 40)).isEqualTo(first);
    }
}
