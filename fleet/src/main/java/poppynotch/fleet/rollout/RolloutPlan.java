package poppynotch.fleet.rollout;

import java.util.List;

/**
 * What is to be released, and how.
 *
 * @param name of the release
 * @param kind the new version's servers by the kind that discovery tells, or empty
 * @param ids the same by their ids, or none
 * @param stages the parts of the calls that go to them, one after the other, above 0 up to 1
 * @param bakeMs a stage lasts so long at least
 * @param calls a stage lasts until so many calls to the new version were reported: with fewer
 *     nothing is known
 * @param failures by how much more often than with the old version calls may fail, as a part of
 *     calls
 * @param slow the same for answers later than their class wants
 * @param falseAlarm the chance that an innocent version is judged bad over the whole release
 * @param back whether a version that is judged bad gets nothing any more; else it stays at its
 *     stage
 */
public record RolloutPlan(
        String name,
        String kind,
        List<String> ids,
        List<Double> stages,
        double bakeMs,
        long calls,
        double failures,
        double slow,
        double falseAlarm,
        boolean back) {

    /** Checks all and says all that is wrong, a line each. */
    public RolloutPlan {
        ids = List.copyOf(ids);
        stages = List.copyOf(stages);
        StringBuilder wrong = new StringBuilder();
        check(
                wrong,
                name.matches("[A-Za-z0-9._-]{1,48}"),
                "name must be 1 to 48 letters, digits, . _ -",
                name);
        check(
                wrong,
                kind.isEmpty() != ids.isEmpty(),
                "servers must have either kind or ids",
                kind + ids);
        check(
                wrong,
                ids.size() <= RolloutStage.MOST_IDS,
                "servers.ids must be at most " + RolloutStage.MOST_IDS,
                ids.size());
        check(wrong, !stages.isEmpty(), "stages must not be empty", stages);
        double before = 0;
        for (double stage : stages) {
            check(wrong, stage > before && stage <= 1, "stages must grow, above 0 up to 1", stages);
            before = stage;
        }
        check(wrong, bakeMs >= 1000, "bake must be 1 s or more", bakeMs + " ms");
        check(wrong, calls >= 1, "calls must be 1 or more", calls);
        check(
                wrong,
                failures >= 0 && failures < 1,
                "gates.failures must be from 0 to below 1",
                failures);
        check(wrong, slow >= 0 && slow < 1, "gates.slow must be from 0 to below 1", slow);
        check(
                wrong,
                falseAlarm > 0 && falseAlarm <= 0.5,
                "false-alarm must be above 0 up to 0.5",
                falseAlarm);
        if (wrong.length() > 0) {
            throw new IllegalArgumentException(wrong.toString().trim());
        }
    }

    private static void check(StringBuilder wrong, boolean holds, String rule, Object is) {
        if (!holds) {
            wrong.append(rule).append(" but is ").append(is).append('\n');
        }
    }
}
