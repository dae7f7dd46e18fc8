package poppynotch.fleet.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * The plan of a rollout: which servers run the new version (the canary), the fraction of calls that
 * they receive at each stage, and the limits that end the rollout. Immutable.
 *
 * @param name the name of the rollout
 * @param serverKind the kind of the canary's servers, as in discovery; empty if ids are given
 * @param serverIds the ids of the canary's servers; empty if a kind is given
 * @param stageFractions the fraction of calls to the canary at each stage, ascending, above 0 up to
 *     1
 * @param bakeMs the minimum duration of a stage, in milliseconds
 * @param minCanaryCalls the minimum number of reported calls to the canary in a stage, as the
 *     evidence of fewer calls is insufficient
 * @param maxFailureExcess by how much the canary's fraction of failed calls may exceed that of the
 *     other servers
 * @param maxSlowExcess the same for calls that are answered later than their latency target
 * @param falseAlarm the probability over the whole rollout that a harmless version is judged
 *     harmful
 * @param rollBackOnHarm whether a harmful version is rolled back; otherwise the rollout halts at
 *     its stage
 */
public record RolloutPlan(
        String name,
        String serverKind,
        List<String> serverIds,
        List<Double> stageFractions,
        double bakeMs,
        long minCanaryCalls,
        double maxFailureExcess,
        double maxSlowExcess,
        double falseAlarm,
        boolean rollBackOnHarm) {

    /**
     * Validates all fields.
     *
     * @throws IllegalArgumentException if fields are invalid; the message has a line for each, with
     *     its name in the plan's file
     */
    public RolloutPlan {
        serverIds = List.copyOf(serverIds);
        stageFractions = List.copyOf(stageFractions);
        Problems problems = new Problems();
        problems.require(
                name.matches("[A-Za-z0-9._-]{1,48}"),
                "name must be 1 to 48 letters, digits, . _ -",
                name);
        problems.require(
                serverKind.isEmpty() != serverIds.isEmpty(),
                "servers must have either kind or ids",
                serverKind + serverIds);
        problems.require(
                serverIds.size() <= RolloutStage.MAX_SERVER_IDS,
                "servers.ids must be at most " + RolloutStage.MAX_SERVER_IDS,
                serverIds.size());
        requireAscendingFractions(problems, stageFractions);
        problems.require(bakeMs >= 1000, "bake must be 1 s or more", bakeMs + " ms");
        problems.require(minCanaryCalls >= 1, "calls must be 1 or more", minCanaryCalls);
        problems.require(
                maxFailureExcess >= 0 && maxFailureExcess < 1,
                "gates.failures must be from 0 to below 1",
                maxFailureExcess);
        problems.require(
                maxSlowExcess >= 0 && maxSlowExcess < 1,
                "gates.slow must be from 0 to below 1",
                maxSlowExcess);
        problems.require(
                falseAlarm > 0 && falseAlarm <= 0.5,
                "false-alarm must be above 0 up to 0.5",
                falseAlarm);
        problems.throwIfAny();
    }

    private static void requireAscendingFractions(Problems problems, List<Double> stages) {
        problems.require(!stages.isEmpty(), "stages must not be empty", stages);
        double previous = 0;
        for (double stage : stages) {
            problems.require(
                    stage > previous && stage <= 1, "stages must grow, above 0 up to 1", stages);
            previous = stage;
        }
    }

    /** Collects the rules that a plan violates. */
    private static final class Problems {
        private final List<String> lines = new ArrayList<>();

        void require(boolean holds, String rule, Object value) {
            if (!holds) {
                lines.add(rule + " but is " + value);
            }
        }

        void throwIfAny() {
            if (!lines.isEmpty()) {
                throw new IllegalArgumentException(String.join("\n", lines).trim());
            }
        }
    }
}
