package poppynotch.rollout;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import poppynotch.wire.OutcomeCount;

/**
 * Counts of how the attempts at both versions of a service have ended since a rollout began, summed
 * over the edges. Immutable.
 */
public record VersionOutcomes(Map<Key, Counts> counts) {

    /** The outcomes before any attempt has ended. */
    public static final VersionOutcomes NONE = new VersionOutcomes(Map.of());

    /**
     * The route and the group of servers that attempts are counted by.
     *
     * @param serverGroup the group of servers, as in {@link OutcomeCount}
     */
    public record Key(String route, int serverGroup) implements Comparable<Key> {

        private static final Comparator<Key> ORDER =
                Comparator.comparing(Key::route).thenComparing(Key::serverGroup);

        /** Whether the attempts are at servers of the serving version. */
        public boolean isBaseline() {
            return serverGroup == OutcomeCount.BASELINE;
        }

        @Override
        public int compareTo(Key other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Counts of ended attempts.
     *
     * @param ended attempts that ended with evidence about the server
     * @param failed the part of {@code ended} that failed
     * @param slow the part of {@code ended} whose response began late
     */
    public record Counts(long ended, long failed, long slow) {

        static final Counts NONE = new Counts(0, 0, 0);

        /** Returns the sum of these counts and others. */
        public Counts plus(Counts other) {
            return new Counts(ended + other.ended, failed + other.failed, slow + other.slow);
        }

        private Counts minus(Counts earlier) {
            return new Counts(
                    Math.max(0, ended - earlier.ended),
                    Math.max(0, failed - earlier.failed),
                    Math.max(0, slow - earlier.slow));
        }
    }

    public VersionOutcomes {
        counts = ImmutableSortedMap.copyOf(counts);
    }

    /** Returns the outcomes added since earlier outcomes of the same rollout. */
    VersionOutcomes since(VersionOutcomes earlier) {
        Map<Key, Counts> differences = new TreeMap<>();
        counts.forEach(
                (key, count) -> {
                    Counts difference = count.minus(earlier.counts.getOrDefault(key, Counts.NONE));
                    if (difference.ended() > 0) {
                        differences.put(key, difference);
                    }
                });
        return new VersionOutcomes(differences);
    }

    /** The number of ended attempts at both versions. */
    public long ended() {
        return counts.values().stream().mapToLong(Counts::ended).sum();
    }

    /** The number of ended attempts at servers of the new version. */
    public long targetEnded() {
        return counts.entrySet().stream()
                .filter(entry -> !entry.getKey().isBaseline())
                .mapToLong(entry -> entry.getValue().ended())
                .sum();
    }
}
