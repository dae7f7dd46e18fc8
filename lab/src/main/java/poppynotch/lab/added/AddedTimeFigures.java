package poppynotch.lab.added;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Computes the figures of the time that sidecars add to calls, and records counts and notes in the
 * outcome of the trial. For the thread of the trial.
 */
final class AddedTimeFigures {

    static final double MEDIAN = 0.5;

    /** Quantiles that are reported, by their words in keys of figures. */
    private static final Map<String, Double> QUANTILES = quantiles();

    private final TrialEnvironment env;

    AddedTimeFigures(TrialEnvironment env) {
        this.env = env;
    }

    private static Map<String, Double> quantiles() {
        Map<String, Double> quantiles = new LinkedHashMap<>();
        quantiles.put("p50", MEDIAN);
        quantiles.put("p99", 0.99);
        quantiles.put("p999", 0.999);
        return quantiles;
    }

    /** A figure as text; null is one for which there were too few calls. */
    static String text(Estimate estimate) {
        return estimate == null ? "(too few calls)" : estimate.text();
    }

    /**
     * Quantiles of the time added, and of both ways. One for which a block has too few calls is
     * left out, with a note.
     *
     * @param key of the figures, for the note
     */
    Map<String, Estimate> quantiles(List<Block.Pair> pairs, String key) {
        List<Estimate.Pair> calls = pairs.stream().map(Block.Pair::calls).toList();
        Map<String, Estimate> figures = new LinkedHashMap<>();
        QUANTILES.forEach(
                (word, fraction) ->
                        Estimate.added(calls, fraction)
                                .ifPresentOrElse(
                                        added -> {
                                            figures.put("added." + word, added);
                                            figures.put("direct." + word, direct(calls, fraction));
                                            figures.put("by." + word, by(calls, fraction));
                                        },
                                        () -> noteTooFewCalls(key, word, calls)));
        long seed = env.random().nextLong();
        QUANTILES.forEach(
                (word, fraction) ->
                        Estimate.pooled(calls, fraction, seed)
                                .ifPresent(added -> figures.put("pooled." + word, added)));
        return figures;
    }

    /** Quantiles of the time added alone, without those that have too few calls. */
    static Map<String, Estimate> added(List<Block.Pair> pairs) {
        List<Estimate.Pair> calls = pairs.stream().map(Block.Pair::calls).toList();
        Map<String, Estimate> figures = new LinkedHashMap<>();
        QUANTILES.forEach(
                (word, fraction) ->
                        Estimate.added(calls, fraction)
                                .ifPresent(added -> figures.put("added." + word, added)));
        return figures;
    }

    private static Estimate direct(List<Estimate.Pair> calls, double fraction) {
        return Estimate.of(calls.stream().map(pair -> pair.direct().quantileMs(fraction)).toList());
    }

    private static Estimate by(List<Estimate.Pair> calls, double fraction) {
        return Estimate.of(calls.stream().map(pair -> pair.by().quantileMs(fraction)).toList());
    }

    private void noteTooFewCalls(String key, String word, List<Estimate.Pair> calls) {
        env.outcome()
                .note(
                        String.format(
                                Locale.ROOT,
                                "%s: no %s, as a block of %d calls is too short for it (or too few"
                                        + " of them were served)",
                                key,
                                word,
                                calls.get(0).direct().schedule().count()));
    }

    /** Records how many calls by the sidecar were served, refused and failed. */
    void recordCounts(String key, int size, List<Block.Pair> pairs) {
        long served = 0;
        long refused = 0;
        long failed = 0;
        for (Block.Pair pair : pairs) {
            served += pair.by().calls().served();
            refused += pair.by().calls().refused();
            failed += pair.by().calls().failed();
        }
        env.outcome()
                .add(key + ".served", "count", size, Estimate.of(List.of((double) served)), null);
        env.outcome()
                .add(key + ".refused", "count", size, Estimate.of(List.of((double) refused)), null);
        env.outcome()
                .add(key + ".failed", "count", size, Estimate.of(List.of((double) failed)), null);
    }

    /** The times of all blocks that went one way. */
    static Histogram sum(List<Block.Pair> pairs, boolean direct) {
        Histogram sum = Recorder.empty();
        pairs.forEach(pair -> sum.add((direct ? pair.direct() : pair.by()).calls().times()));
        return sum;
    }
}
