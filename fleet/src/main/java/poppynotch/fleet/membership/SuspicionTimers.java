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
    private static final double FINAL_PROBES_WINDOW_MS = 1000;

    private static final double FINAL_PROBE_INTERVAL_MS = 250;

    /**
     * Whoever only heard of it leaves the verdict to those who asked for so long, and as long again
     * at random: else a large fleet would look at one suspect all at once.
     */
    private static final double SECOND_HAND_DELAY_MS = 2000;

    private static final class Suspicion {
        double sinceMs;
        double timeoutMs;
        double secondHandDelayMs;
        double nextFinalProbeMs = Double.NEGATIVE_INFINITY;
        int expectedConfirmations;
        final Set<String> suspectingMembers = new HashSet<>();

        double expiryMs() {
            return timeoutMs + secondHandDelayMs;
        }

        double finalProbeDueMs() {
            return Math.max(nextFinalProbeMs, expiryMs() - FINAL_PROBES_WINDOW_MS);
        }
    }

    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final SwimSettings settings;
    private final String localName;
    private final RandomGenerator random;

    /** Nothing is due before this. */
    private double nextDueMs = Double.POSITIVE_INFINITY;

    SuspicionTimers(SwimSettings tuning, String self, RandomGenerator random) {
        this.settings = tuning;
        this.localName = self;
        this.random = random;
    }

    /**
     * Somebody suspects a member.
     *
     * @param by who; the same one twice is one
     * @param others how many further members could suspect it too
     * @return whether that is news
     */
    boolean suspect(double now, String name, String by, int others) {
        Suspicion suspicion = suspicions.get(name);
        boolean first = suspicion == null;
        if (first) {
            suspicion = new Suspicion();
            suspicion.sinceMs = now;
            suspicion.expectedConfirmations = Math.min(settings.confirmations(), others);
            suspicion.secondHandDelayMs = SECOND_HAND_DELAY_MS * (1 + random.nextDouble());
            suspicions.put(name, suspicion);
        }
        if (by.equals(localName)) {
            suspicion.secondHandDelayMs = 0;
        }
        boolean news =
                suspicion.suspectingMembers.size() <= suspicion.expectedConfirmations
                        && suspicion.suspectingMembers.add(by);
        if (news) {
            int further = suspicion.suspectingMembers.size() - 1;
            double part =
                    suspicion.expectedConfirmations == 0
                            ? 0
                            : Math.log(further + 1) / Math.log(suspicion.expectedConfirmations + 1);
            suspicion.timeoutMs =
                    suspicion.sinceMs
                            + settings.suspicionMaxMs()
                            - (settings.suspicionMaxMs() - settings.suspicionMinMs()) * part;
        }
        nextDueMs = Math.min(nextDueMs, suspicion.finalProbeDueMs());
        return news;
    }

    boolean isSuspectedBy(String name, String by) {
        Suspicion suspicion = suspicions.get(name);
        return suspicion != null && suspicion.suspectingMembers.contains(by);
    }

    /** Others hold it for dead: it has the shortest time left. */
    void onReportedDead(double now, String name) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion != null) {
            suspicion.secondHandDelayMs = 0;
            suspicion.timeoutMs = Math.min(suspicion.timeoutMs, now + settings.suspicionMinMs());
            nextDueMs = Math.min(nextDueMs, suspicion.finalProbeDueMs());
        }
    }

    void clear(String name) {
        suspicions.remove(name);
    }

    /** No suspect's time runs while this process did not. */
    void postpone(double byMs) {
        suspicions
                .values()
                .forEach(
                        each -> {
                            each.sinceMs += byMs;
                            each.timeoutMs += byMs;
                        });
        nextDueMs += byMs;
    }

    /** Those whose time is over. */
    List<String> removeExpired(double now) {
        List<String> due = dueBy(now, Suspicion::expiryMs);
        due.forEach(suspicions::remove);
        return due;
    }

    /**
     * Those to be asked once more before their time is over.
     *
     * @return by name, whether this is the first of the last looks
     */
    Map<String, Boolean> takeFinalProbes(double now) {
        Map<String, Boolean> looks = new TreeMap<>();
        for (String name : dueBy(now, Suspicion::finalProbeDueMs)) {
            looks.put(name, suspicions.get(name).nextFinalProbeMs == Double.NEGATIVE_INFINITY);
            suspicions.get(name).nextFinalProbeMs = now + FINAL_PROBE_INTERVAL_MS;
        }
        if (now >= nextDueMs) {
            nextDueMs =
                    suspicions.values().stream()
                            .mapToDouble(each -> Math.min(each.expiryMs(), each.finalProbeDueMs()))
                            .min()
                            .orElse(Double.POSITIVE_INFINITY);
        }
        return looks;
    }

    private List<String> dueBy(double now, ToDoubleFunction<Suspicion> time) {
        if (now < nextDueMs) {
            return List.of();
        }
        List<String> due = new ArrayList<>();
        suspicions.forEach(
                (name, each) -> {
                    if (time.applyAsDouble(each) <= now) {
                        due.add(name);
                    }
                });
        due.sort(null);
        return due;
    }

    /** When the next one's time is over or it is to be asked, or a moment before that. */
    double nextDueMs() {
        return suspicions.isEmpty() ? Double.POSITIVE_INFINITY : nextDueMs;
    }
}
