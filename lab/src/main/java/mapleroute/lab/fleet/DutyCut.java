package mapleroute.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** How long a duty stands still while two regions are apart, by where the keepers that vote stand. */
public final class DutyCut {

    private static final double CUT_AT_MS = 60_000;
    private static final double AFTER_MS = 120_000;
    /** Those that want the duty, beside the keepers, in the first two regions each. */
    private static final int WANTING = 3;

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
        public static final List<Placing> ALL = List.of(new Placing("v4.even", 2, 2, 0),
            new Placing("v5.near", 3, 2, 0), new Placing("v5.far", 2, 3, 0),
            new Placing("v5.third", 2, 2, 1));

        int keepers() {
            return near + far + third;
        }
    }

    private DutyCut() {
    }

    /**
     * Plays the regions apart.
     *
     * @param holderNear whether processes of r1 want the duty most, else those of r2
     */
    public static TrialOutcome play(Placing placing, boolean holderNear, double cutMs, long seed,
            Places.Delays delays) {
        List<Places.Place> places = new ArrayList<>();
        for (int i = 0; i < placing.near(); i++) {
            places.add(new Places.Place("r1", 1 + i % 3, 0));
        }
        for (int i = 0; i < placing.far(); i++) {
            places.add(new Places.Place("r2", 4 + i % 2, 0));
        }
        for (int i = 0; i < placing.third(); i++) {
            places.add(new Places.Place("r3", 6, 0));
        }
        for (int i = 0; i < WANTING; i++) {
            places.add(new Places.Place("r1", 1 + i % 3, 1));
            places.add(new Places.Place("r2", 4 + i % 2, 1));
        }
        Places all = Places.of(places, delays);
        Set<String> near = all.in("r1").stream().map(i -> "m" + i).collect(Collectors.toSet());
        DutyTrial.Apart apart = DutyTrial.playApart(new FleetPlan(places.size(), seed, 3000, 2, 0, List.of()),
            placing.keepers(), number -> near.contains("m" + number) == holderNear ? number : 100 + number,
            all, CUT_AT_MS, cutMs, AFTER_MS);
        return told("duties." + placing.key() + (holderNear ? ".holder_near" : ".holder_far"), apart, near,
            cutMs, seed);
    }

    private static TrialOutcome told(String key, DutyTrial.Apart apart, Set<String> near, double cutMs,
            long seed) {
        TrialOutcome outcome = new TrialOutcome();
        double end = CUT_AT_MS + cutMs;
        double[] held = new double[2];
        List<DutyHistory.Holding> all = apart.holdings();
        for (DutyHistory.Holding each : all) {
            held[near.contains(each.name()) ? 0 : 1] += Math.max(0, Math.min(end, each.untilMs())
                - Math.max(CUT_AT_MS, each.fromMs()));
        }
        outcome.add(key + ".standstill", "s", 0, (cutMs - held[0] - held[1]) / 1000);
        outcome.add(key + ".r1.standstill", "s", 0, (cutMs - held[0]) / 1000);
        outcome.add(key + ".r2.standstill", "s", 0, (cutMs - held[1]) / 1000);
        DutyHistory.Holding first = all.stream().filter(each -> each.fromMs() <= CUT_AT_MS
            && each.untilMs() > CUT_AT_MS).findFirst().orElse(null);
        if (first == null) {
            outcome.findings().add(key + ", seed " + seed + ": nobody had the duty when the cut began");
        } else {
            outcome.add(key + ".first_in_r1", "count", 0, near.contains(first.name()) ? 1 : 0);
            if (first.untilMs() < end) {
                outcome.add(key + ".lease_ended", "s", 0, (first.untilMs() - CUT_AT_MS) / 1000);
            }
        }
        double back = all.stream().filter(each -> each.untilMs() > end).mapToDouble(each ->
            Math.max(0, each.fromMs() - end)).min().orElse(Double.NaN);
        if (Double.isNaN(back)) {
            outcome.findings().add(key + ", seed " + seed + ": nobody had the duty within "
                + AFTER_MS / 1000 + " s after the mend");
        } else {
            outcome.add(key + ".after_mend", "s", 0, back / 1000);
        }
        apart.broken().forEach(line -> outcome.findings().add(key + ", seed " + seed + ": " + line));
        return outcome;
    }
}
