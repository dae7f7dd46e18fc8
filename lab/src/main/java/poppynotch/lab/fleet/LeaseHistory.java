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

    private static final int MOST_TOLD = 20;

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

    private final List<String> broken = new ArrayList<>();

    /** The highest state that was told by each moment. */
    private final TreeMap<Double, State> told = new TreeMap<>();

    private final Map<Long, String> holders = new TreeMap<>();
    private long lastEffect;
    private int effects;
    private int refused;
    private String believer = "";
    private double freeSince = Double.NaN;
    private double believerSince;
    private final List<Holding> holdings = new ArrayList<>();
    private final List<Double> gaps = new ArrayList<>();

    private void tell(double now, String line) {
        if (broken.size() < MOST_TOLD) {
            broken.add(String.format(Locale.ROOT, "%s, at %.0f ms", line, now));
        }
    }

    /** An effect has reached what it is for, and was let through or not. */
    void effect(double now, long token, boolean accepted) {
        if (!accepted) {
            refused++;
            return;
        }
        effects++;
        if (token < lastEffect) {
            tell(now, "effects in order: token " + token + " was accepted after " + lastEffect);
        }
        lastEffect = Math.max(lastEffect, token);
    }

    /** Who believes now that they have the duty. */
    void believers(double now, Map<String, Long> tokens) {
        if (tokens.size() > 1) {
            tell(now, "one holder: " + tokens + " believe to have it");
        }
        tokens.forEach(
                (name, token) -> {
                    String before = holders.putIfAbsent(token, name);
                    if (before != null && !before.equals(name)) {
                        tell(
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
        if (is.isEmpty() && !believer.isEmpty()) {
            freeSince = now;
        } else if (!is.isEmpty() && believer.isEmpty() && !Double.isNaN(freeSince)) {
            gaps.add(now - freeSince);
        }
        if (!is.equals(believer)) {
            if (!believer.isEmpty()) {
                holdings.add(new Holding(believer, believerSince, now));
            }
            believerSince = now;
        }
        believer = is;
    }

    /** Who had the duty, one after the other; whoever has it now, until {@code now}. */
    List<Holding> holdings(double now) {
        List<Holding> all = new ArrayList<>(holdings);
        if (!believer.isEmpty()) {
            all.add(new Holding(believer, believerSince, now));
        }
        return all;
    }

    /** An answer that tells a state has come to whoever asked at {@code askedMs}. */
    void answered(double askedMs, double now, long token, long renewal) {
        State state = new State(token, renewal);
        Map.Entry<Double, State> before = told.lowerEntry(askedMs);
        if (before != null && state.compareTo(before.getValue()) < 0) {
            tell(
                    now,
                    "reads in order: "
                            + state
                            + " was told to one who asked at "
                            + Math.round(askedMs)
                            + " ms, when "
                            + before.getValue()
                            + " had been told");
        }
        Map.Entry<Double, State> last = told.lastEntry();
        if (last == null || state.compareTo(last.getValue()) > 0) {
            told.put(now, state);
        }
    }

    List<String> broken() {
        return broken;
    }

    /** Times in which nobody had the duty, between two holders, in milliseconds. */
    List<Double> gaps() {
        return gaps;
    }

    boolean isHeld() {
        return !believer.isEmpty();
    }

    int effects() {
        return effects;
    }

    int refused() {
        return refused;
    }

    int grants() {
        return holders.size();
    }
}
