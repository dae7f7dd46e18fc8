package poppynotch.lab.report;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import poppynotch.lab.measure.Result;

/** Groups the results of days by what they have in common. Stateless. */
final class ResultGroups {

    private ResultGroups() {}

    /** Names the experiment and its point. */
    static String experimentTitle(Result result) {
        return result.experiment() + (result.point().isEmpty() ? "" : " " + result.point());
    }

    /** Names the experiment, its point and the policy. */
    static String policyTitle(Result result) {
        return experimentTitle(result) + ", " + result.policy();
    }

    /** Groups results by {@link #policyTitle} and then by seed, in the order in which they come. */
    static Map<String, Map<Long, Result>> bySeed(List<Result> results) {
        Map<String, Map<Long, Result>> groups = new LinkedHashMap<>();
        for (Result result : results) {
            groups.computeIfAbsent(policyTitle(result), title -> new LinkedHashMap<>())
                    .put(result.seed(), result);
        }
        return groups;
    }
}
