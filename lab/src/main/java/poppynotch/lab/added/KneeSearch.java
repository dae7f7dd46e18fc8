package poppynotch.lab.added;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Searches the highest rate that a sidecar holds, by doubling it until calls fail or the time added
 * exceeds the bound of the plan. For the thread of the trial.
 */
final class KneeSearch {

    private static final double MAX_RATE = 128_000;

    private final TrialEnvironment env;
    private final BlockPlayer player;

    KneeSearch(TrialEnvironment env, BlockPlayer player) {
        this.env = env;
        this.player = player;
    }

    /** Why a pair shows that its rate is too high, or nothing where it does not. */
    Optional<String> failureOf(Block.Pair pair) {
        Recorder direct = pair.direct().calls();
        Recorder by = pair.by().calls();
        if (direct.served() < direct.schedule().count()
                || direct.quantileMs(0.99) > env.plan().boundMs()) {
            return Optional.of("callers or the server do not hold it without a sidecar either");
        }
        if (by.served() < by.schedule().count()) {
            return Optional.of("calls were refused or failed");
        }
        double added = by.quantileMs(0.99) - direct.quantileMs(0.99);
        return added <= env.plan().boundMs()
                ? Optional.empty()
                : Optional.of(
                        String.format(Locale.ROOT, "the 99th percentile added was %.1f ms", added));
    }

    /**
     * Searches the knee and records it.
     *
     * @param known servers that the sidecar knows
     * @param fleet whether it takes part in a fleet
     * @param ways to compare
     * @param highestHeld the highest rate of the plan that held, 0 for none
     * @param fault why a rate of the plan did not hold, or empty where all did
     */
    void measureKnee(
            int known, boolean fleet, BlockPlayer.Ways ways, double highestHeld, String fault)
            throws IOException {
        double holding = highestHeld;
        String why = fault;
        double rate =
                env.plan().rates().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        while (why.isEmpty()) {
            rate *= 2;
            if (rate > MAX_RATE) {
                why = "it is the highest rate that is tried";
                break;
            }
            why = failureOf(player.playPair(ways, rate, env.plan().kneeSeconds())).orElse("");
            if (why.isEmpty()) {
                holding = rate;
            }
            env.reportProgress(
                    "knee: %.0f a second %s",
                    rate, why.isEmpty() ? "holds" : "does not hold: " + why);
        }
        if (holding > 0) {
            env.outcome()
                    .add(
                            "calls.knee.known" + known + "." + CallsOutcome.word(fleet) + ".rate",
                            "1/s",
                            known,
                            Estimate.of(List.of(holding)),
                            "the last that holds; the next: " + why);
        } else {
            env.outcome().note("knee: no rate holds: " + why);
        }
    }
}
