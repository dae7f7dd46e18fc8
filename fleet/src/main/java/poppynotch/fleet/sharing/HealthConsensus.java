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
 * Decides which servers are unhealthy from the independent observations of several processes. The
 * result is advice only: it ejects at most a fraction of a tier, and with too few observations it
 * ejects nothing.
 *
 * <p>Stateless; called by {@link SharedState}.
 */
public final class HealthConsensus {

    /**
     * Minimum number of processes that observe a server as failing: a single one may have a fault
     * in its own network.
     */
    static final int MIN_FAILING_OBSERVERS = 3;

    /** Minimum number of calls that all observers of a server together have made. */
    static final double MIN_CALLS = 6;

    /** Maximum number of calls that the report of one observer counts for. */
    static final double MAX_CALLS_PER_OBSERVER = 4;

    /** A server is failing if at least this fraction of the calls failed. */
    static final double MIN_FAILURE_FRACTION = 0.5;

    /**
     * An observer that reports a larger fraction of the servers that it called as failing is
     * ignored, as the fault is probably at the observer.
     */
    static final double MAX_FAILING_FRACTION_PER_OBSERVER = 0.4;

    /** At most this fraction of a tier is ejected, as the other servers must serve its calls. */
    static final double MAX_EJECTED_FRACTION = 0.3;

    /**
     * Number of processes that go on calling an ejected server: a single one may have no calls, or
     * may terminate.
     */
    private static final int TESTERS_PER_SERVER = 2;

    /** Number of servers that one process observed, and how many of these as failing. */
    private static final class ObserverCounts {
        int servers;
        int failingServers;

        /**
         * A single failing server is tolerated, however few servers were called, as it may be
         * chance.
         */
        boolean isUnreliable() {
            return failingServers > Math.max(1, MAX_FAILING_FRACTION_PER_OBSERVER * servers);
        }
    }

    /** Sums of the observations of one server. */
    private static final class ServerTotals {
        int failingObservers;
        double calls;
        double failures;

        void add(Observation observation) {
            double weight = Math.min(MAX_CALLS_PER_OBSERVER, observation.attempts());
            calls += weight;
            failures += weight * observation.failures() / observation.attempts();
            failingObservers += isFailing(observation) ? 1 : 0;
        }

        boolean isUnhealthy() {
            return failingObservers >= MIN_FAILING_OBSERVERS
                    && calls >= MIN_CALLS
                    && failures >= MIN_FAILURE_FRACTION * calls;
        }

        double failureFraction() {
            return failures / calls;
        }
    }

    private HealthConsensus() {}

    /**
     * Returns the unhealthy servers, to be ejected.
     *
     * @param now the time in milliseconds
     * @param store the observations
     * @param tier the ids of all servers in use, as this process's own discovery reports them
     * @param self name of this process; a server that succeeds for it is not ejected
     * @param sameZone processes in the same zone as this one. Connection failures that processes of
     *     other zones observed are ignored, as a server may be unreachable from one zone and
     *     reachable from another
     */
    public static Set<String> unhealthyServers(
            double now,
            ObservationStore store,
            Collection<String> tier,
            String self,
            Set<String> sameZone) {
        Map<String, List<Observation>> observationsByServer = new HashMap<>();
        Map<String, ObserverCounts> countsByObserver = new HashMap<>();
        for (String server : tier) {
            List<Observation> observations =
                    store.observationsOf(now, server).stream()
                            .map(
                                    observation ->
                                            sameZone.contains(observation.origin())
                                                    ? observation
                                                    : observation.withoutUnreachable())
                            .filter(observation -> observation.attempts() > 0)
                            .toList();
            observationsByServer.put(server, observations);
            for (Observation observation : observations) {
                ObserverCounts counts =
                        countsByObserver.computeIfAbsent(
                                observation.origin(), origin -> new ObserverCounts());
                counts.servers++;
                counts.failingServers += isFailing(observation) ? 1 : 0;
            }
        }
        Set<String> ignoredObservers = unreliableObservers(countsByObserver);
        Map<String, Double> failureFractions = new HashMap<>();
        observationsByServer.forEach(
                (server, observations) -> {
                    ServerTotals totals = totals(observations, self, ignoredObservers);
                    if (totals.isUnhealthy()) {
                        failureFractions.put(server, totals.failureFraction());
                    }
                });
        return worstServers(failureFractions, (int) (MAX_EJECTED_FRACTION * tier.size()));
    }

    private static Set<String> unreliableObservers(Map<String, ObserverCounts> countsByObserver) {
        Set<String> unreliable = new HashSet<>();
        countsByObserver.forEach(
                (observer, counts) -> {
                    if (counts.isUnreliable()) {
                        unreliable.add(observer);
                    }
                });
        return unreliable;
    }

    /**
     * Sums of a server's observations; zero if this process's own observation, or the most recent
     * one, shows that the server succeeds.
     */
    private static ServerTotals totals(
            List<Observation> observations, String self, Set<String> ignoredObservers) {
        ServerTotals totals = new ServerTotals();
        boolean succeedsHere =
                observations.stream()
                        .anyMatch(
                                observation ->
                                        observation.origin().equals(self)
                                                && !isFailing(observation));
        // A process that still calls the server may succeed after others observed it as failing.
        boolean succeededLast =
                observations.stream()
                        .min(Comparator.comparingDouble(Observation::ageMs))
                        .map(youngest -> !isFailing(youngest))
                        .orElse(true);
        if (succeedsHere || succeededLast) {
            return totals;
        }
        for (Observation observation : observations) {
            if (!ignoredObservers.contains(observation.origin())) {
                totals.add(observation);
            }
        }
        return totals;
    }

    /** Returns the servers with the highest failure fractions, at most the given number of them. */
    private static Set<String> worstServers(Map<String, Double> failureFractions, int maxServers) {
        List<String> worstFirst = new ArrayList<>(failureFractions.keySet());
        worstFirst.sort(
                Comparator.<String>comparingDouble(server -> -failureFractions.get(server))
                        .thenComparing(Comparator.naturalOrder()));
        return new HashSet<>(worstFirst.subList(0, Math.min(worstFirst.size(), maxServers)));
    }

    /**
     * Whether a process is one of the few that go on calling an ejected server, to detect when it
     * is healthy again. These are the first ones, by a hash, of the processes that observe it as
     * failing. All processes that have the same observations select the same ones.
     */
    static boolean isTester(double now, ObservationStore store, String server, String self) {
        return store.observationsOf(now, server).stream()
                .filter(HealthConsensus::isFailing)
                .map(Observation::origin)
                .sorted(Comparator.comparing(origin -> (origin + '/' + server).hashCode()))
                .limit(TESTERS_PER_SERVER)
                .anyMatch(self::equals);
    }

    private static boolean isFailing(Observation observation) {
        return observation.failures() >= MIN_FAILURE_FRACTION * observation.attempts();
    }
}
