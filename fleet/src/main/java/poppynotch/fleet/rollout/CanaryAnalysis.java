package poppynotch.fleet.rollout;

/**
 * Whether one kind of mishap is more frequent with the new version than with the old one at the
 * same time and place, by more than is tolerated. A sequential test: it may be looked at after each
 * block of calls, and harm may begin at any of them. Each block multiplies a bet against "no more
 * than tolerated" (an e-variable for two Bernoulli streams: Turner, Ly, Grünwald 2021), and the
 * bets begun at all blocks are added up (an e-detector: Shin, Ramdas, Rinaldo 2022), so the chance
 * of a false alarm within a number of blocks is at most that number over the bound.
 */
final class CanaryAnalysis {

    /**
     * A harm smaller than this beyond what is tolerated is not looked for: it would take too many
     * calls.
     */
    private static final double LEAST_HARM = 0.005;

    /** Rates are kept from 0 and 1 by as much, so that one call cannot prove all. */
    private static final double EDGE = 0.0005;

    /**
     * What the new version's rate is taken for before there are any calls, beyond the old one's.
     */
    private static final double FIRST_GUESS = 0.1;

    private static final double GUESS_WEIGHT = 4;

    /** How closely the nearest innocent rate is sought. */
    private static final int SEARCH = 40;

    private final double tolerated;
    private final double logBound;
    private double logDetector = Double.NEGATIVE_INFINITY;
    private double oldCalls;
    private double oldBad;
    private double freshCalls;
    private double freshBad;

    /**
     * Begins with no calls.
     *
     * @param tolerated by so much more often it may happen, as a part of calls
     * @param falseAlarm the chance of a false alarm within {@code blocks}
     */
    CanaryAnalysis(double tolerated, double falseAlarm, int blocks) {
        this.tolerated = tolerated;
        logBound = Math.log(blocks / falseAlarm);
    }

    /** Calls that ended at about the same time in one place. */
    void block(CanaryMetrics.Count calls, CanaryMetrics.Count bad) {
        if (calls.fresh() == 0 || calls.old() == 0) {
            // Nothing to compare: it says nothing either way.
            return;
        }
        double a = clamp((oldBad + 0.5) / (oldCalls + 20));
        double b =
                clamp(
                        Math.max(
                                a + tolerated + LEAST_HARM,
                                (freshBad + GUESS_WEIGHT * (a + FIRST_GUESS))
                                        / (freshCalls + GUESS_WEIGHT)));
        double nearest = nearest(a, b, calls);
        double log =
                bet(calls.old(), bad.old(), a, nearest)
                        + bet(calls.fresh(), bad.fresh(), b, clamp(nearest + tolerated));
        double before =
                logDetector < 0
                        ? Math.log1p(Math.exp(logDetector))
                        : logDetector + Math.log1p(Math.exp(-logDetector));
        logDetector = before + log;
        oldCalls += calls.old();
        oldBad += bad.old();
        freshCalls += calls.fresh();
        freshBad += bad.fresh();
    }

    private static double clamp(double rate) {
        return Math.max(EDGE, Math.min(1 - EDGE, rate));
    }

    private static double bet(double calls, double bad, double guess, double innocent) {
        return bad * Math.log(guess / innocent)
                + (calls - bad) * Math.log((1 - guess) / (1 - innocent));
    }

    /**
     * The old rate of the innocent pair that is hardest to tell from the guessed one (ternary
     * search).
     */
    private double nearest(double a, double b, CanaryMetrics.Count calls) {
        double low = EDGE;
        double high = 1 - EDGE;
        for (int i = 0; i < SEARCH; i++) {
            double first = low + (high - low) / 3;
            double second = high - (high - low) / 3;
            if (distance(a, b, first, calls) < distance(a, b, second, calls)) {
                high = second;
            } else {
                low = first;
            }
        }
        return (low + high) / 2;
    }

    private double distance(double a, double b, double rate, CanaryMetrics.Count calls) {
        return bet(calls.old(), calls.old() * a, a, rate)
                + bet(calls.fresh(), calls.fresh() * b, b, clamp(rate + tolerated));
    }

    /** Whether that is more than chance makes of an innocent version. */
    boolean isBad() {
        return logDetector >= logBound;
    }

    /** The evidence against the new version, as a part of what is needed; below 0 for none. */
    double evidence() {
        return Math.max(-1, logDetector / logBound);
    }

    /** What was counted, in words. */
    String counted() {
        return Math.round(freshBad)
                + " of "
                + Math.round(freshCalls)
                + " new, "
                + Math.round(oldBad)
                + " of "
                + Math.round(oldCalls)
                + " old";
    }
}
