package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What happened to one duty, by true time, and whether that may happen: effects are accepted in the
 * order of their tokens; no two processes believe at one time that they have the duty; and no
 * answer tells of an older state than any answer that was there before its question was asked.
 * Tokens and renewals only grow, so the last is what linearizability asks of reads of such a
 * register; that each state read was also written is checked by the grants seen.
 */
final class LeaseHistory {

    private static final int MAX_VIOLATIONS = 20;

    /** A state as an answer told it. */
    private record State(long token, long renewal) implements Comparable<State> {
        @Override
        public int compareTo(State other) {
            return token != other.token
                    ? Long.compare(token, other.token)
                    : Long.compare(renewal, other.renewal);
        }
    }

    /** Somebody had the duty from one moment to another. */
    record Holding(String name, double fromMs, double untilMs) {}

    private final List<String> violations = new ArrayList<>();

    /** The highest state that was told by each moment. */
    private final TreeMap<Double, State> answeredStates = new TreeMap<>();

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

    /** An effect has reached what it is for, and was let through or not. */
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

    /** Who believes now that they have the duty. */
    void recordBelievedHolders(double now, Map<String, Long> tokens) {
        if (tokens.size() > 1) {
            addViolation(now, "one holder: " + tokens + " believe to have it");
        }
        tokens.forEach(
                (name, token) -> {
                    String before = holders.putIfAbsent(token, name);
                    if (before != null && !before.equals(name)) {
                        addViolation(
                                now,
                                "one holder a token: "
                                        + token
                                        + " was "
                                        + before
                                        + "'s and is "
                                        + name
                                        + "'s");
                    }
                });
        String is = tokens.isEmpty() ? "" : tokens.keySet().iterator().next();
        if (is.isEmpty() && !believedHolder.isEmpty()) {
            freeSinceMs = now;
        } else if (!is.isEmpty() && believedHolder.isEmpty() && !Double.isNaN(freeSinceMs)) {
            gaps.add(now - freeSinceMs);
        }
        if (!is.equals(believedHolder)) {
            if (!believedHolder.isEmpty()) {
                holdings.add(new Holding(believedHolder, heldSinceMs, now));
            }
            heldSinceMs = now;
        }
        believedHolder = is;
    }

    /** Who had the duty, one after the other; whoever has it now, until {@code now}. */
    List<Holding> holdings(double now) {
        List<Holding> all = new ArrayList<>(holdings);
        if (!believedHolder.isEmpty()) {
            all.add(new Holding(believedHolder, heldSinceMs, now));
        }
        return all;
    }

    /** An answer that tells a state has come to whoever asked at {@code askedMs}. */
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

    /** Times in which nobody had the duty, between two holders, in milliseconds. */
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
