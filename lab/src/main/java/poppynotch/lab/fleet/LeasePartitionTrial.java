package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Trial of a lease during a partition between two regions, on virtual time: measures how long
 * nobody holds it, by the regions of the Raft servers, of their leader and of the lease holder when
 * the partition begins.
 */
public final class LeasePartitionTrial {

    private static final double PARTITION_START_MS = 60_000;
    private static final double LEADER_KILL_DELAY_MS = 60_000;
    private static final double RECOVERY_MS = 120_000;

    /** Candidates for the lease in each of the first two regions, beside the Raft servers. */
    private static final int CANDIDATES_PER_REGION = 3;

    /** The Raft servers choose their leader, so several runs are needed to see each region lead. */
    private static final int RUNS = 6;

    private static final int LOWER_PREFERENCE = 100;

    /**
     * The regions of the Raft servers.
     *
     * @param key part of the figures' keys
     * @param near Raft servers in r1
     * @param far Raft servers in r2
     * @param third Raft servers in r3, which the partition does not affect
     */
    public record RaftPlacement(String key, int near, int far, int third) {

        /** What the plan's four machines allow, and what five do. */
        public static final List<RaftPlacement> ALL =
                List.of(
                        new RaftPlacement("v4.even", 2, 2, 0),
                        new RaftPlacement("v5.near", 3, 2, 0),
                        new RaftPlacement("v5.far", 2, 3, 0),
                        new RaftPlacement("v5.third", 2, 2, 1));

        int keepers() {
            return near + far + third;
        }
    }

    /** The result of one run: the regions of leader and lease holder, and the figures by name. */
    private record RunResult(String leader, String holder, Map<String, Double> figures) {}

    private final RaftPlacement placing;
    private final double cutMs;
    private final boolean leaderDies;
    private final FailureDomains places;
    private final TrialOutcome outcome = new TrialOutcome();

    private LeasePartitionTrial(
            RaftPlacement placing, boolean leaderDies, double cutMs, FailureDomains.Delays delays) {
        this.placing = placing;
        this.leaderDies = leaderDies;
        this.cutMs = cutMs;
        List<FailureDomains.Place> all = new ArrayList<>();
        for (int i = 0; i < placing.near(); i++) {
            all.add(new FailureDomains.Place("r1", 1 + i % 3, 0));
        }
        for (int i = 0; i < placing.far(); i++) {
            all.add(new FailureDomains.Place("r2", 4 + i % 2, 0));
        }
        for (int i = 0; i < placing.third(); i++) {
            all.add(new FailureDomains.Place("r3", 6, 0));
        }
        for (int i = 0; i < CANDIDATES_PER_REGION; i++) {
            all.add(new FailureDomains.Place("r1", 1 + i % 3, 1));
            all.add(new FailureDomains.Place("r2", 4 + i % 2, 1));
        }
        places = FailureDomains.of(all, delays);
    }

    /**
     * Runs the partition several times.
     *
     * @param leaderDies whether the Raft leader ends a minute into the partition, for a minute
     */
    public static TrialOutcome play(
            RaftPlacement placing,
            boolean leaderDies,
            double cutMs,
            long seed,
            FailureDomains.Delays delays) {
        LeasePartitionTrial cut = new LeasePartitionTrial(placing, leaderDies, cutMs, delays);
        List<RunResult> plays = new ArrayList<>();
        for (int i = 0; i < RUNS; i++) {
            // The candidates of the two regions are preferred by turns.
            plays.add(cut.play(seed * RUNS + i, i % 2 == 0 ? "r1" : "r2"));
        }
        cut.addFigures(plays);
        return cut.outcome;
    }

    private String region(String member) {
        return member.isEmpty()
                ? "none"
                : places.of(Integer.parseInt(member.substring(1))).region();
    }

    private RunResult play(long seed, String wanting) {
        LeaseTrial.PartitionOutcome apart =
                LeaseTrial.playPartition(
                        new FleetPlan(
                                placing.keepers() + 2 * CANDIDATES_PER_REGION,
                                seed,
                                0,
                                2,
                                0,
                                List.of()),
                        new LeaseTrial.RegionPartition(
                                placing.keepers(),
                                number ->
                                        region("m" + number).equals(wanting)
                                                ? number
                                                : LOWER_PREFERENCE + number,
                                places,
                                PARTITION_START_MS,
                                cutMs,
                                leaderDies ? LEADER_KILL_DELAY_MS : 0,
                                RECOVERY_MS));
        double end = PARTITION_START_MS + cutMs;
        Map<String, Double> figures = new LinkedHashMap<>();
        List<LeaseHistory.Holding> all = apart.holdings();
        double[] held = new double[2];
        for (LeaseHistory.Holding each : all) {
            held[region(each.name()).equals("r1") ? 0 : 1] +=
                    Math.max(
                            0,
                            Math.min(end, each.untilMs())
                                    - Math.max(PARTITION_START_MS, each.fromMs()));
        }
        figures.put("standstill", (cutMs - held[0] - held[1]) / 1000);
        figures.put("r1.standstill", (cutMs - held[0]) / 1000);
        figures.put("r2.standstill", (cutMs - held[1]) / 1000);
        LeaseHistory.Holding first =
                all.stream()
                        .filter(
                                each ->
                                        each.fromMs() <= PARTITION_START_MS
                                                && each.untilMs() > PARTITION_START_MS)
                        .findFirst()
                        .orElse(null);
        if (first == null) {
            finding(seed, "nobody had the duty when the cut began");
        } else if (first.untilMs() < end) {
            figures.put("lease_ended", (first.untilMs() - PARTITION_START_MS) / 1000);
        }
        double back =
                all.stream()
                        .filter(each -> each.untilMs() > end)
                        .mapToDouble(each -> Math.max(0, each.fromMs() - end))
                        .min()
                        .orElse(Double.NaN);
        if (Double.isNaN(back)) {
            finding(seed, "nobody had the duty within " + RECOVERY_MS / 1000 + " s after the mend");
        } else {
            figures.put("after_mend", back / 1000);
        }
        apart.violations().forEach(line -> finding(seed, line));
        return new RunResult(
                region(apart.leader()), first == null ? "none" : region(first.name()), figures);
    }

    private String key() {
        return "duties." + placing.key() + (leaderDies ? ".leader_dies" : "");
    }

    private void finding(long seed, String line) {
        outcome.findings().add(key() + ", seed " + seed + ": " + line);
    }

    private void addFigures(List<RunResult> plays) {
        Map<String, SummaryStatistics> all = new LinkedHashMap<>();
        for (RunResult each : plays) {
            String key = key() + ".leader_" + each.leader() + ".holder_" + each.holder() + ".";
            each.figures()
                    .forEach(
                            (name, value) ->
                                    all.computeIfAbsent(key + name, k -> new SummaryStatistics())
                                            .addValue(value));
            all.computeIfAbsent(key() + ".standstill", k -> new SummaryStatistics())
                    .addValue(each.figures().get("standstill"));
        }
        all.forEach(
                (key, values) ->
                        outcome.figures()
                                .add(
                                        new TrialOutcome.Figure(
                                                key,
                                                "s",
                                                0,
                                                values.getMean(),
                                                values.getMin(),
                                                values.getMax(),
                                                values.getN())));
    }
}
