package poppynotch.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * How long each suspect has left: the less, the more members suspect it independently (Lifeguard).
 * Whoever is about to hold it dead asks it itself again before that. A refutation reaches each
 * member by a few datagrams only, and at some loss one member in some thousands misses them all: it
 * must not end a life by that.
 */
final class SuspicionTimers {

    /**
     * The last looks begin so long before the end, and come this often: four, of which each may be
     * lost.
     */
    private static final double LOOKS_MS = 1000;

    private static final double LOOK_EVERY_MS = 250;

    /**
     * Whoever only heard of it leaves the verdict to those who asked for so long, and as long again
     * at random: else a large fleet would look at one suspect all at once.
     */
    private static final double HEARSAY_MS = 2000;

    private static final class Suspicion {
        double sinceMs;
        double untilMs;
        double hearsayMs;
        double lookMs = Double.NEGATIVE_INFINITY;
        int wanted;
        final Set<String> accusers = new HashSet<>();

        double endMs() {
            return untilMs + hearsayMs;
        }

        double nextLookMs() {
            return Math.max(lookMs, endMs() - LOOKS_MS);
        }
    }

    private final Map<String, Suspicion> open = new HashMap<>();
    private final SwimSettings tuning;
    private final String self;
    private final RandomGenerator random;

    /** Nothing is due before this. */
    private double nextMs = Double.POSITIVE_INFINITY;

    SuspicionTimers(SwimSettings tuning, String self, RandomGenerator random) {
        this.tuning = tuning;
        this.self = self;
        this.random = random;
    }

    /**
     * Somebody suspects a member.
     *
     * @param by who; the same one twice is one
     * @param others how many further members could suspect it too
     * @return whether that is news
     */
    boolean accuse(double now, String name, String by, int others) {
        Suspicion suspicion = open.get(name);
        boolean first = suspicion == null;
        if (first) {
            suspicion = new Suspicion();
            suspicion.sinceMs = now;
            suspicion.wanted = Math.min(tuning.confirmations(), others);
            suspicion.hearsayMs = HEARSAY_MS * (1 + random.nextDouble());
            open.put(name, suspicion);
        }
        if (by.equals(self)) {
            suspicion.hearsayMs = 0;
        }
        boolean news = suspicion.accusers.size() <= suspicion.wanted && suspicion.accusers.add(by);
        if (news) {
            int further = suspicion.accusers.size() - 1;
            double part =
                    suspicion.wanted == 0
                            ? 0
                            : Math.log(further + 1) / Math.log(suspicion.wanted + 1);
            suspicion.untilMs =
                    suspicion.sinceMs
                            + tuning.suspicionMaxMs()
                            - (tuning.suspicionMaxMs() - tuning.suspicionMinMs()) * part;
        }
        nextMs = Math.min(nextMs, suspicion.nextLookMs());
        return news;
    }

    boolean isAccusedBy(String name, String by) {
        Suspicion suspicion = open.get(name);
        return suspicion != null && suspicion.accusers.contains(by);
    }

    /** Others hold it for dead: it has the shortest time left. */
    void condemn(double now, String name) {
        Suspicion suspicion = open.get(name);
        if (suspicion != null) {
            suspicion.hearsayMs = 0;
            suspicion.untilMs = Math.min(suspicion.untilMs, now + tuning.suspicionMinMs());
            nextMs = Math.min(nextMs, suspicion.nextLookMs());
        }
    }

    void clear(String name) {
        open.remove(name);
    }

    /** No suspect's time runs while this process did not. */
    void putOff(double byMs) {
        open.values()
                .forEach(
                        each -> {
                            each.sinceMs += byMs;
                            each.untilMs += byMs;
                        });
        nextMs += byMs;
    }

    /** Those whose time is over. */
    List<String> due(double now) {
        List<String> due = dueBy(now, Suspicion::endMs);
        due.forEach(open::remove);
        return due;
    }

    /**
     * Those to be asked once more before their time is over.
     *
     * @return by name, whether this is the first of the last looks
     */
    Map<String, Boolean> looks(double now) {
        Map<String, Boolean> looks = new TreeMap<>();
        for (String name : dueBy(now, Suspicion::nextLookMs)) {
            looks.put(name, open.get(name).lookMs == Double.NEGATIVE_INFINITY);
            open.get(name).lookMs = now + LOOK_EVERY_MS;
        }
        if (now >= nextMs) {
            nextMs =
                    open.values().stream()
                            .mapToDouble(each -> Math.min(each.endMs(), each.nextLookMs()))
                            .min()
                            .orElse(Double.POSITIVE_INFINITY);
        }
        return looks;
    }

    private List<String> dueBy(double now, ToDoubleFunction<Suspicion> time) {
        if (now < nextMs) {
            return List.of();
        }
        List<String> due = new ArrayList<>();
        open.forEach(
                (name, each) -> {
                    if (time.applyAsDouble(each) <= now) {
                        due.add(name);
                    }
                });
        due.sort(null);
        return due;
    }

    /** When the next one's time is over or it is to be asked, or a moment before that. */
    double nextMs() {
        return open.isEmpty() ? Double.POSITIVE_INFINITY : nextMs;
    }
}
