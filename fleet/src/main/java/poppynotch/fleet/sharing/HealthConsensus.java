package poppynotch.fleet.sharing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The common verdict on servers: which ones several processes, each for itself, saw fail. It only
 * advises to hold back, and never more than a part of a tier; with too little to go by it advises
 * nothing.
 */
public final class HealthConsensus {

    /**
     * So many processes must have seen a server fail: one alone may have a network of its own that
     * is bad.
     */
    static final int MIN_FAILING_OBSERVERS = 3;

    /** Together they must have made so many calls. */
    static final double MIN_CALLS = 6;

    /** One process counts for no more calls than this, whatever it tells. */
    static final double MAX_CALLS_PER_OBSERVER = 4;

    /** This part of the calls must have failed. */
    static final double MIN_FAILURE_FRACTION = 0.5;

    /**
     * A process that condemns a larger part of the servers that it tried is disbelieved: the fault
     * is its own.
     */
    static final double MAX_FAILING_FRACTION_PER_OBSERVER = 0.4;

    /** Never more than this part of a tier is held back, as the rest must bear its calls. */
    static final double MAX_EJECTED_FRACTION = 0.3;

    /** So many go on calling a server that is held back: one may have no calls, or end. */
    private static final int TESTERS = 2;

    private HealthConsensus() {}

    /**
     * The servers to hold back.
     *
     * @param now the time
     * @param store what is known
     * @param tier the ids of all servers in use, as this process's own discovery names them
     * @param self whose own opinion counts against a verdict: a server that this process sees
     *     succeed is not held
     * @param nearby processes in the same zone: only they can tell what cannot be reached from here
     */
    public static Set<String> held(
            double now,
            ObservationStore store,
            Collection<String> tier,
            String self,
            Set<String> nearby) {
        Map<String, List<Observation>> known = new HashMap<>();
        Map<String, int[]> byObserver = new HashMap<>();
        for (String server : tier) {
            List<Observation> opinions =
                    store.of(now, server).stream()
                            .map(
                                    one ->
                                            nearby.contains(one.origin())
                                                    ? one
                                                    : one.withoutUnreachable())
                            .filter(one -> one.attempts() > 0)
                            .toList();
            known.put(server, opinions);
            for (Observation one : opinions) {
                int[] counts = byObserver.computeIfAbsent(one.origin(), o -> new int[2]);
                counts[0]++;
                counts[1] += isFailing(one) ? 1 : 0;
            }
        }
        Set<String> disbelieved = new HashSet<>();
        byObserver.forEach(
                (observer, counts) -> {
                    // One of two or three can be bad luck; what is more must be a part of what it
                    // tried.
                    if (counts[1] > Math.max(1, MAX_FAILING_FRACTION_PER_OBSERVER * counts[0])) {
                        disbelieved.add(observer);
                    }
                });
        Map<String, Double> failing = new HashMap<>();
        known.forEach(
                (server, opinions) -> {
                    if (opinions.stream()
                            .min(Comparator.comparingDouble(Observation::ageMs))
                            .map(last -> !isFailing(last))
                            .orElse(true)) {
                        // Whoever still calls it has seen it answer: what others saw was before
                        // that.
                        return;
                    }
                    int observers = 0;
                    double calls = 0;
                    double failed = 0;
                    for (Observation one : opinions) {
                        if (one.origin().equals(self) && !isFailing(one)) {
                            return;
                        }
                        if (!disbelieved.contains(one.origin())) {
                            double weight = Math.min(MAX_CALLS_PER_OBSERVER, one.attempts());
                            calls += weight;
                            failed += weight * one.failures() / one.attempts();
                            observers += isFailing(one) ? 1 : 0;
                        }
                    }
                    if (observers >= MIN_FAILING_OBSERVERS
                            && calls >= MIN_CALLS
                            && failed >= MIN_FAILURE_FRACTION * calls) {
                        failing.put(server, failed / calls);
                    }
                });
        List<String> worst = new ArrayList<>(failing.keySet());
        worst.sort(
                Comparator.<String>comparingDouble(server -> -failing.get(server))
                        .thenComparing(Comparator.naturalOrder()));
        return new HashSet<>(
                worst.subList(
                        0, Math.min(worst.size(), (int) (MAX_EJECTED_FRACTION * tier.size()))));
    }

    /**
     * Whether a process is one of the few that go on calling a server which the others hold back,
     * to see when it is well again: of those that saw it fail, the first ones by a hash. All that
     * know the same agree.
     */
    static boolean isTester(double now, ObservationStore store, String server, String self) {
        return store.of(now, server).stream()
                .filter(HealthConsensus::isFailing)
                .map(Observation::origin)
                .sorted(Comparator.comparing(origin -> (origin + '/' + server).hashCode()))
                .limit(TESTERS)
                .anyMatch(self::equals);
    }

    private static boolean isFailing(Observation one) {
        return one.failures() >= MIN_FAILURE_FRACTION * one.attempts();
    }
}
