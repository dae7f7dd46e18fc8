package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records what happened to one lease, in true time, and checks its invariants: effects are accepted
 * in the order of their fencing tokens; no two processes believe at the same time to hold the
 * lease; and no answer has an older state than any answer that had arrived before its question was
 * asked. Tokens and renewal counts only grow, so the last is what linearizability asks of reads of
 * such a register; that each state read was also written is checked by the grants seen.
 *
 * <p>Owned by one {@link LeaseTrial} and used on its thread only.
 */
final class LeaseHistory {

    private static final int MAX_VIOLATIONS = 20;

    /** A state of the lease as an answer carried it; ordered by age. */
    private record State(long token, long renewal) implements Comparable<State> {
        @Override
        public int compareTo(State other) {
            return token != other.token
                    ? Long.compare(token, other.token)
                    : Long.compare(renewal, other.renewal);
        }
    }

    /** A process believed to hold the lease for this period. */
    record Holding(String name, double fromMs, double untilMs) {}

    private final List<String> violations = new ArrayList<>();

    /** By the time of an answer in milliseconds, the highest state answered up to then. */
    private final TreeMap<Double, State> answeredStates = new TreeMap<>();

    /** Who held the lease, by fencing token. */
    private final Map<Long, String> holders = new TreeMap<>();

    private long highestAcceptedToken;
    private int acceptedEffects;
    private int rejectedEffects;
    private String believedHolder = "";
    private double freeSinceMs = Double.NaN;
    private double heldSinceMs;
    private final List<Holding> holdings = new ArrayList<>();
    private final List<Double> gaps = new ArrayList<>();

    private void addViolation(double now, String line) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(String.format(Locale.ROOT, "%s, at %.0f ms", line, now));
        }
    }

    /** Records an effect that has reached its target, which has accepted or rejected it. */
    void recordEffect(double now, long token, boolean accepted) {
        if (!accepted) {
            rejectedEffects++;
            return;
        }
        acceptedEffects++;
        if (token < highestAcceptedToken) {
            addViolation(
                    now,
                    "effects in order: token "
                            + token
                            + " was accepted after "
                            + highestAcceptedToken);
        }
        highestAcceptedToken = Math.max(highestAcceptedToken, token);
    }

    /**
     * Records which processes believe now to hold the lease.
     *
     * @param tokens their fencing tokens by name
     */
    void recordBelievedHolders(double now, Map<String, Long> tokens) {
        if (tokens.size() > 1) {
            addViolation(now, "one holder: " + tokens + " believe to have it");
        }
        tokens.forEach((name, token) -> recordGrant(now, name, token));
        String holder = tokens.isEmpty() ? "" : tokens.keySet().iterator().next();
        if (holder.isEmpty() && !believedHolder.isEmpty()) {
            freeSinceMs = now;
        } else if (!holder.isEmpty() && believedHolder.isEmpty() && !Double.isNaN(freeSinceMs)) {
            gaps.add(now - freeSinceMs);
        }
        if (!holder.equals(believedHolder)) {
            if (!believedHolder.isEmpty()) {
                holdings.add(new Holding(believedHolder, heldSinceMs, now));
            }
            heldSinceMs = now;
        }
        believedHolder = holder;
    }

    private void recordGrant(double now, String name, long token) {
        String previous = holders.putIfAbsent(token, name);
        if (previous != null && !previous.equals(name)) {
            addViolation(
                    now,
                    "one holder a token: "
                            + token
                            + " was "
                            + previous
                            + "'s and is "
                            + name
                            + "'s");
        }
    }

    /** Who held the lease, in order; the period of the present holder ends at {@code now}. */
    List<Holding> holdings(double now) {
        List<Holding> all = new ArrayList<>(holdings);
        if (!believedHolder.isEmpty()) {
            all.add(new Holding(believedHolder, heldSinceMs, now));
        }
        return all;
    }

    /** Records a state that was answered to a question of {@code askedMs}. */
    void recordAnswer(double askedMs, double now, long token, long renewal) {
        State state = new State(token, renewal);
        Map.Entry<Double, State> before = answeredStates.lowerEntry(askedMs);
        if (before != null && state.compareTo(before.getValue()) < 0) {
            addViolation(
                    now,
                    "reads in order: "
                            + state
                            + " was told to one who asked at "
                            + Math.round(askedMs)
                            + " ms, when "
                            + before.getValue()
                            + " had been told");
        }
        Map.Entry<Double, State> last = answeredStates.lastEntry();
        if (last == null || state.compareTo(last.getValue()) > 0) {
            answeredStates.put(now, state);
        }
    }

    List<String> violations() {
        return violations;
    }

    /** Times in which nobody held the lease, between two holders, in milliseconds. */
    List<Double> gaps() {
        return gaps;
    }

    boolean hasHolder() {
        return !believedHolder.isEmpty();
    }

    int acceptedEffects() {
        return acceptedEffects;
    }

    int rejectedEffects() {
        return rejectedEffects;
    }

    int grants() {
        return holders.size();
    }
}
