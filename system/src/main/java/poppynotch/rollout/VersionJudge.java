package poppynotch.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import poppynotch.canary.CanaryAnalysis;
import poppynotch.canary.VersionCounts;
import poppynotch.rollout.VersionOutcomes.Counts;
import poppynotch.rollout.VersionOutcomes.Key;

/**
 * Judges the new version of a running rollout by comparing its failed and slow attempts with those
 * of the serving version at the same time, over all routes and for each route. If there are enough
 * groups of servers, the worst ones are left out, so that a few faulty servers do not count as a
 * faulty version.
 *
 * <p>One instance per rollout, owned by the replica that controls it. Not thread-safe.
 */
public final class VersionJudge {

    /** The result of judging a version. */
    public sealed interface Assessment {

        /** The version does harm. */
        record Harmful(String reason) implements Assessment {}

        /** The version had enough attempts and did no harm. */
        record Proven() implements Assessment {}

        /** The version is neither found harmful nor proven. */
        record Undecided(String reason) implements Assessment {}
    }

    /** A kind of fault, and by how much its rate may exceed the serving version's rate. */
    private enum Fault {
        FAILED("attempts fail", 0.02, 0.05, Counts::failed),
        SLOW("responses are slow", 0.2, 0.25, Counts::slow);

        private final String description;

        /** A version that exceeds the serving version's rate by more is harmful. */
        private final double toleratedExcess;

        /** A version that exceeds the serving version's rate by more is not proven. */
        private final double provenExcess;

        private final ToLongFunction<Counts> count;

        Fault(
                String description,
                double toleratedExcess,
                double provenExcess,
                ToLongFunction<Counts> count) {
            this.description = description;
            this.toleratedExcess = toleratedExcess;
            this.provenExcess = provenExcess;
            this.count = count;
        }
    }

    /** The probability of a false alarm of one analysis within {@link #PLANNED_BLOCKS}. */
    private static final double FALSE_ALARM_PROBABILITY = 0.01;

    private static final int PLANNED_BLOCKS = 60;

    /** The minimum number of groups of which any is left out. */
    private static final int MIN_GROUPS_TO_OMIT = 3;

    /** The fraction of the groups that are left out, rounded up. */
    private static final double OMITTED_GROUPS_FRACTION = 0.2;

    /** The minimum numbers of ended attempts of a proven version, in all and for a large route. */
    private static final long MIN_PROVEN_ENDED = 40;

    private static final long MIN_PROVEN_ENDED_OF_ROUTE = 24;

    /** The minimum fraction of the service's attempts that makes a route a large one. */
    private static final double MIN_ROUTE_FRACTION = 0.04;

    /** The number of latest trial attempts also judged on their own, as harm may begin late. */
    private static final long RECENT_TRIAL_ATTEMPTS = 20;

    /** The number of latest blocks in which the sizes of routes are measured. */
    private static final int RECENT_BLOCKS = 8;

    private final List<VersionOutcomes> blocks = new ArrayList<>();
    private VersionOutcomes latestTotal = VersionOutcomes.NONE;

    /**
     * Adds a block with the outcomes since the previous call, if there are any.
     *
     * @param total the total outcomes of all edges since the rollout began
     */
    public void addOutcomes(VersionOutcomes total) {
        VersionOutcomes block = total.since(latestTotal);
        if (!block.counts().isEmpty()) {
            blocks.add(block);
            latestTotal = total;
        }
    }

    /** Judges the version by the outcomes added so far. */
    public Assessment assess() {
        Set<String> routes = new TreeSet<>();
        latestTotal.counts().keySet().forEach(key -> routes.add(key.route()));
        Optional<String> harm = findHarm("all routes", key -> true);
        for (String route : routes) {
            harm = harm.or(() -> findHarm("route " + route, key -> key.route().equals(route)));
        }
        if (harm.isPresent()) {
            return new Assessment.Harmful(harm.get());
        }
        return findUnprovenReason(routes)
                .<Assessment>map(Assessment.Undecided::new)
                .orElseGet(Assessment.Proven::new);
    }

    // ---- harm ----

    private Optional<String> findHarm(String scope, Predicate<Key> inScope) {
        for (Fault fault : Fault.values()) {
            Set<Integer> omitted = omittedGroups(inScope, fault);
            Predicate<Key> counted =
                    inScope.and(key -> key.isBaseline() || !omitted.contains(key.serverGroup()));
            if (sum(latestTotal, counted, fault.count).canary() == 0) {
                continue;
            }
            CanaryAnalysis analysis =
                    new CanaryAnalysis(
                            fault.toleratedExcess, FALSE_ALARM_PROBABILITY, PLANNED_BLOCKS);
            for (VersionOutcomes block : blocks) {
                analysis.addBlock(
                        sum(block, counted, Counts::ended), sum(block, counted, fault.count));
            }
            if (analysis.isHarmful()) {
                return Optional.of(fault.description + ", " + scope + ": " + analysis.summary());
            }
        }
        return Optional.empty();
    }

    private static VersionCounts sum(
            VersionOutcomes outcomes, Predicate<Key> counted, ToLongFunction<Counts> count) {
        long canary = 0;
        long baseline = 0;
        for (Map.Entry<Key, Counts> entry : outcomes.counts().entrySet()) {
            if (counted.test(entry.getKey())) {
                long value = count.applyAsLong(entry.getValue());
                canary += entry.getKey().isBaseline() ? 0 : value;
                baseline += entry.getKey().isBaseline() ? value : 0;
            }
        }
        return new VersionCounts(canary, baseline);
    }

    /** Returns the groups with the highest rates of a fault, which are left out. */
    private Set<Integer> omittedGroups(Predicate<Key> inScope, Fault fault) {
        Map<Integer, Counts> byGroup = new HashMap<>();
        latestTotal
                .counts()
                .forEach(
                        (key, counts) -> {
                            if (inScope.test(key) && !key.isBaseline()) {
                                byGroup.merge(key.serverGroup(), counts, Counts::plus);
                            }
                        });
        if (byGroup.size() < MIN_GROUPS_TO_OMIT) {
            return Set.of();
        }
        int omitted = (int) Math.ceil(OMITTED_GROUPS_FRACTION * byGroup.size());
        Set<Integer> worst = new HashSet<>();
        byGroup.entrySet().stream()
                .sorted(Comparator.comparingDouble(entry -> -rate(entry.getValue(), fault)))
                .limit(omitted)
                .forEach(entry -> worst.add(entry.getKey()));
        return worst;
    }

    private static double rate(Counts counts, Fault fault) {
        return (double) fault.count.applyAsLong(counts.ended() == 0 ? Counts.NONE : counts)
                / Math.max(1, counts.ended());
    }

    // ---- proof ----

    /** Returns why the version is not proven yet; empty if it is proven. */
    private Optional<String> findUnprovenReason(Set<String> routes) {
        VersionCounts all = sum(latestTotal, key -> true, Counts::ended);
        if (all.canary() < MIN_PROVEN_ENDED) {
            return Optional.of("too few attempts at the new version: " + all.canary());
        }
        Optional<String> reason = findHigherRate("all routes", key -> true);
        for (String route : routes) {
            Predicate<Key> ofRoute = key -> key.route().equals(route);
            long targetEnded = sum(latestTotal, ofRoute, Counts::ended).canary();
            if (targetEnded < MIN_PROVEN_ENDED_OF_ROUTE && isLargeRoute(ofRoute)) {
                return Optional.of(
                        "too few attempts at the new version, route " + route + ": " + targetEnded);
            }
            reason = reason.or(() -> findHigherRate("route " + route, ofRoute));
        }
        return reason;
    }

    /** Whether a route has a large part of the recent attempts; a removed route soon has none. */
    private boolean isLargeRoute(Predicate<Key> ofRoute) {
        long route = 0;
        long all = 0;
        for (VersionOutcomes block : recentBlocks()) {
            VersionCounts ofBlock = sum(block, ofRoute, Counts::ended);
            route += ofBlock.baseline() + ofBlock.canary();
            all += block.ended();
        }
        return route >= MIN_ROUTE_FRACTION * all;
    }

    /** Returns the latest blocks that contain {@link #RECENT_TRIAL_ATTEMPTS} trial attempts. */
    private List<VersionOutcomes> recentTrials(Predicate<Key> inScope) {
        int from = blocks.size();
        long targetEnded = 0;
        while (from > 0 && targetEnded < RECENT_TRIAL_ATTEMPTS) {
            from--;
            targetEnded += sum(blocks.get(from), inScope, Counts::ended).canary();
        }
        return blocks.subList(from, blocks.size());
    }

    private List<VersionOutcomes> recentBlocks() {
        return blocks.subList(Math.max(0, blocks.size() - RECENT_BLOCKS), blocks.size());
    }

    private static VersionCounts sum(
            List<VersionOutcomes> summed, Predicate<Key> counted, ToLongFunction<Counts> count) {
        VersionCounts total = VersionCounts.NONE;
        for (VersionOutcomes outcomes : summed) {
            total = total.plus(sum(outcomes, counted, count));
        }
        return total;
    }

    private Optional<String> findHigherRate(String scope, Predicate<Key> inScope) {
        return findHigherRate(scope, inScope, List.of(latestTotal))
                .or(() -> findHigherRate("recently, " + scope, inScope, recentTrials(inScope)));
    }

    private Optional<String> findHigherRate(
            String scope, Predicate<Key> inScope, List<VersionOutcomes> counted) {
        for (Fault fault : Fault.values()) {
            Set<Integer> omitted = omittedGroups(inScope, fault);
            Predicate<Key> notOmitted =
                    inScope.and(key -> key.isBaseline() || !omitted.contains(key.serverGroup()));
            VersionCounts ended = sum(counted, notOmitted, Counts::ended);
            VersionCounts faults = sum(counted, notOmitted, fault.count);
            double baselineRate = (double) faults.baseline() / Math.max(1, ended.baseline());
            double allowed = (baselineRate + fault.provenExcess) * ended.canary() + 1;
            if (faults.canary() > allowed) {
                return Optional.of(
                        fault.description
                                + " more often, "
                                + scope
                                + ": "
                                + faults.canary()
                                + " of "
                                + ended.canary());
            }
        }
        return Optional.empty();
    }
}
