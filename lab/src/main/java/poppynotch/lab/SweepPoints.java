package poppynotch.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Expands the sweep of an experiment into its points: every combination of the keys' values. */
final class SweepPoints {

    /** More points are a slip in the file: each is played for every policy and seed. */
    private static final int MAX_POINTS = 1000;

    private SweepPoints() {}

    /**
     * Returns the points in the order of the keys and their values; the last key varies fastest.
     *
     * @param file the experiment's name, for errors
     * @throws IllegalArgumentException if there are more than {@value #MAX_POINTS} points
     */
    static List<Map<String, String>> of(String file, Map<String, List<String>> sweep) {
        List<Map<String, String>> points = List.of(Map.of());
        for (Map.Entry<String, List<String>> key : sweep.entrySet()) {
            points = combine(points, key.getKey(), key.getValue());
            if (points.size() > MAX_POINTS) {
                throw new IllegalArgumentException(
                        file + ": sweep has more than " + MAX_POINTS + " points");
            }
        }
        return points;
    }

    private static List<Map<String, String>> combine(
            List<Map<String, String>> points, String key, List<String> values) {
        List<Map<String, String>> combined = new ArrayList<>();
        for (Map<String, String> point : points) {
            for (String value : values) {
                Map<String, String> extended = new LinkedHashMap<>(point);
                extended.put(key, value);
                combined.add(extended);
            }
        }
        return combined;
    }
}
