package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * How long a duty stands still while two regions are apart, by where the keepers that vote stand,
 * where their leader stands when the cut begins, and where the duty's holder does.
 */
public final class LeasePartitionTrial {

    private static final double CUT_AT_MS = 60_000;
    private static final double LEADER_DIES_MS = 60_000;
    private static final double AFTER_MS = 120_000;

    /** Those that want the duty, beside the keepers, in the first two regions each. */
    private static final int WANTING = 3;

    /** Where the leader stands is left to the keepers, so several are played. */
    private static final int PLAYS = 6;

    private static final int PREFERRED = 100;

    /**
     * Where the keepers stand.
     *
     * @param key a word for the figures' keys
     * @param near keepers in r1
     * @param far keepers in r2
     * @param third keepers in r3, which loses nobody
     */
    public record Placing(String key, int near, int far, int third) {

        /** What the plan's four machines allow, and what five do. */
        public static final List<Placing> ALL =
                List.of(
                        new Placing("v4.even", 2, 2, 0),
                        new Placing("v5.near", 3, 2, 0),
                        new Placing("v5.far", 2, 3, 0),
                        new Placing("v5.third", 2, 2, 1));

        int keepers() {
            return near + far + third;
        }
    }

    /** One play: where its leader and its holder stood, and what came of it, by figure. */
    private record Play(String leader, String holder, Map<String, Double> figures) {}

    private final Placing placing;
    private final double cutMs;
    private final boolean leaderDies;
    private final Places places;
    private final TrialOutcome outcome = new TrialOutcome();

    private LeasePartitionTrial(
            Placing placing, boolean leaderDies, double cutMs, Places.Delays delays) {
        this.placing = placing;
        this.leaderDies = leaderDies;
        this.cutMs = cutMs;
        List<Places.Place> all = new ArrayList<>();
        for (int i = 0; i < placing.near(); i++) {
            all.add(new Places.Place("r1", 1 + i % 3, 0));
        }
        for (int i = 0; i < placing.far(); i++) {
            all.add(new Places.Place("r2", 4 + i % 2, 0));
        }
        for (int i = 0; i < placing.third(); i++) {
            all.add(new Places.Place("r3", 6, 0));
        }
        for (int i = 0; i < WANTING; i++) {
            all.add(new Places.Place("r1", 1 + i % 3, 1));
            all.add(new Places.Place("r2", 4 + i % 2, 1));
        }
        places = Places.of(all, delays);
    }

    /**
     * Plays the regions apart some times.
     *
     * @param leaderDies whether the keepers' leader ends a minute later, for a minute
     */
    public static TrialOutcome play(
            Placing placing, boolean leaderDies, double cutMs, long seed, Places.Delays delays) {
        LeasePartitionTrial cut = new LeasePartitionTrial(placing, leaderDies, cutMs, delays);
        List<Play> plays = new ArrayList<>();
        for (int i = 0; i < PLAYS; i++) {
            // Both regions' processes are wanted as holders by turns.
            plays.add(cut.play(seed * PLAYS + i, i % 2 == 0 ? "r1" : "r2"));
        }
        cut.tell(plays);
        return cut.outcome;
    }

    private String region(String member) {
        return member.isEmpty()
                ? "none"
                : places.of(Integer.parseInt(member.substring(1))).region();
    }

    private Play play(long seed, String wanting) {
        LeaseTrial.PartitionOutcome apart =
                LeaseTrial.playPartition(
                        new FleetPlan(placing.keepers() + 2 * WANTING, seed, 0, 2, 0, List.of()),
                        new LeaseTrial.RegionPartition(
                                placing.keepers(),
                                number ->
                                        region("m" + number).equals(wanting)
                                                ? number
                                                : PREFERRED + number,
                                places,
                                CUT_AT_MS,
                                cutMs,
                                leaderDies ? LEADER_DIES_MS : 0,
                                AFTER_MS));
        double end = CUT_AT_MS + cutMs;
        Map<String, Double> figures = new LinkedHashMap<>();
        List<LeaseHistory.Holding> all = apart.holdings();
        double[] held = new double[2];
        for (LeaseHistory.Holding each : all) {
            held[region(each.name()).equals("r1") ? 0 : 1] +=
                    Math.max(0, Math.min(end, each.untilMs()) - Math.max(CUT_AT_MS, each.fromMs()));
        }
        figures.put("standstill", (cutMs - held[0] - held[1]) / 1000);
        figures.put("r1.standstill", (cutMs - held[0]) / 1000);
        figures.put("r2.standstill", (cutMs - held[1]) / 1000);
        LeaseHistory.Holding first =
                all.stream()
                        .filter(each -> each.fromMs() <= CUT_AT_MS && each.untilMs() > CUT_AT_MS)
                        .findFirst()
                        .orElse(null);
        if (first == null) {
            finding(seed, "nobody had the duty when the cut began");
        } else if (first.untilMs() < end) {
            figures.put("lease_ended", (first.untilMs() - CUT_AT_MS) / 1000);
        }
        double back =
                all.stream()
                        .filter(each -> each.untilMs() > end)
                        .mapToDouble(each -> Math.max(0, each.fromMs() - end))
                        .min()
                        .orElse(Double.NaN);
        if (Double.isNaN(back)) {
            finding(seed, "nobody had the duty within " + AFTER_MS / 1000 + " s after the mend");
        } else {
            figures.put("after_mend", back / 1000);
        }
        apart.violations().forEach(line -> finding(seed, line));
        return new Play(
                region(apart.leader()), first == null ? "none" : region(first.name()), figures);
    }

    private String key() {
        return "duties." + placing.key() + (leaderDies ? ".leader_dies" : "");
    }

    private void finding(long seed, String line) {
        outcome.findings().add(key() + ", seed " + seed + ": " + line);
    }

    private void tell(List<Play> plays) {
        Map<String, SummaryStatistics> all = new LinkedHashMap<>();
        for (Play each : plays) {
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
