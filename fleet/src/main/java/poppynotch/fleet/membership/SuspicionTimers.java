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
 * Time-outs of suspected members (Lifeguard): the more members suspect one independently, the
 * sooner it is declared dead.
 *
 * <p>A process probes a suspect several more times before it declares it dead. Each member receives
 * a refutation in only a few datagrams, and with packet loss one member in some thousands misses
 * all of them; a live member must not be declared dead because of that.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class SuspicionTimers {

    /** The final probes begin this long before the time-out: four, as each of them may be lost. */
    private static final double FINAL_PROBES_WINDOW_MS = 1000;

    private static final double FINAL_PROBE_INTERVAL_MS = 250;

    /**
     * A process that suspects a member only because others reported it waits longer than the
     * time-out: by a random delay from this to twice this. Otherwise, all members of a large fleet
     * would send final probes to one suspect at the same time.
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

        boolean hasNoFinalProbe() {
            return nextFinalProbeMs == Double.NEGATIVE_INFINITY;
        }
    }

    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final SwimSettings settings;
    private final String localName;
    private final RandomGenerator random;

    /** Lower bound of the time at which the next time-out or final probe is due. */
    private double nextDueMs = Double.POSITIVE_INFINITY;

    SuspicionTimers(SwimSettings settings, String localName, RandomGenerator random) {
        this.settings = settings;
        this.localName = localName;
        this.random = random;
    }

    /**
     * Records that a member suspects another.
     *
     * @param name the suspected member
     * @param suspectedBy the member that suspects it; repeated suspicions by one member count once
     * @param otherMembers number of further members that could suspect it too
     * @return whether this is a new suspicion or a new confirmation, to be disseminated
     */
    boolean suspect(double now, String name, String suspectedBy, int otherMembers) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion == null) {
            suspicion = new Suspicion();
            suspicion.sinceMs = now;
            suspicion.expectedConfirmations = Math.min(settings.confirmations(), otherMembers);
            suspicion.secondHandDelayMs = SECOND_HAND_DELAY_MS * (1 + random.nextDouble());
            suspicions.put(name, suspicion);
        }
        if (suspectedBy.equals(localName)) {
            suspicion.secondHandDelayMs = 0;
        }
        boolean isNew =
                suspicion.suspectingMembers.size() <= suspicion.expectedConfirmations
                        && suspicion.suspectingMembers.add(suspectedBy);
        if (isNew) {
            shortenTimeout(suspicion);
        }
        nextDueMs = Math.min(nextDueMs, suspicion.finalProbeDueMs());
        return isNew;
    }

    /** Shortens the time-out by the logarithm of the number of confirmations (Lifeguard). */
    private void shortenTimeout(Suspicion suspicion) {
        int confirmations = suspicion.suspectingMembers.size() - 1;
        double fraction =
                suspicion.expectedConfirmations == 0
                        ? 0
                        : Math.log(confirmations + 1)
                                / Math.log(suspicion.expectedConfirmations + 1);
        suspicion.timeoutMs =
                suspicion.sinceMs
                        + settings.maxSuspicionMs()
                        - (settings.maxSuspicionMs() - settings.minSuspicionMs()) * fraction;
    }

    /** Whether a given member is among those that suspect another. */
    boolean isSuspectedBy(String name, String suspectedBy) {
        Suspicion suspicion = suspicions.get(name);
        return suspicion != null && suspicion.suspectingMembers.contains(suspectedBy);
    }

    /** Shortens a suspect's time-out to the minimum, as another member declared it dead. */
    void onReportedDead(double now, String name) {
        Suspicion suspicion = suspicions.get(name);
        if (suspicion != null) {
            suspicion.secondHandDelayMs = 0;
            suspicion.timeoutMs = Math.min(suspicion.timeoutMs, now + settings.minSuspicionMs());
            nextDueMs = Math.min(nextDueMs, suspicion.finalProbeDueMs());
        }
    }

    /** Removes the suspicion of a member, if there is one. */
    void clear(String name) {
        suspicions.remove(name);
    }

    /** Extends all time-outs by the time for which this process was paused. */
    void postpone(double byMs) {
        suspicions
                .values()
                .forEach(
                        suspicion -> {
                            suspicion.sinceMs += byMs;
                            suspicion.timeoutMs += byMs;
                        });
        nextDueMs += byMs;
    }

    /** Removes the suspicions whose time-out has passed, and returns the members' names. */
    List<String> removeExpired(double now) {
        List<String> expired = dueBy(now, Suspicion::expiryMs);
        expired.forEach(suspicions::remove);
        return expired;
    }

    /**
     * Returns the suspects that are to be probed now, before their time-out, and schedules the next
     * such probe of each.
     *
     * @return by name, whether this is the first final probe of the suspect
     */
    Map<String, Boolean> takeFinalProbes(double now) {
        Map<String, Boolean> finalProbes = new TreeMap<>();
        for (String name : dueBy(now, Suspicion::finalProbeDueMs)) {
            Suspicion suspicion = suspicions.get(name);
            finalProbes.put(name, suspicion.hasNoFinalProbe());
            suspicion.nextFinalProbeMs = now + FINAL_PROBE_INTERVAL_MS;
        }
        if (now >= nextDueMs) {
            nextDueMs =
                    suspicions.values().stream()
                            .mapToDouble(
                                    suspicion ->
                                            Math.min(
                                                    suspicion.expiryMs(),
                                                    suspicion.finalProbeDueMs()))
                            .min()
                            .orElse(Double.POSITIVE_INFINITY);
        }
        return finalProbes;
    }

    /** Names, in order, of the suspects for which a given time has come. */
    private List<String> dueBy(double now, ToDoubleFunction<Suspicion> dueTimeMs) {
        if (now < nextDueMs) {
            return List.of();
        }
        List<String> dueNames = new ArrayList<>();
        suspicions.forEach(
                (name, suspicion) -> {
                    if (dueTimeMs.applyAsDouble(suspicion) <= now) {
                        dueNames.add(name);
                    }
                });
        dueNames.sort(null);
        return dueNames;
    }

    /** When the next time-out or final probe is due, or somewhat earlier. */
    double nextDueMs() {
        return suspicions.isEmpty() ? Double.POSITIVE_INFINITY : nextDueMs;
    }
}
