package poppynotch.fleet.sharing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * What one process sees of servers itself: how its calls there ended, in windows of a second. Told
 * are the sums of the last ones, as one window of a process with few calls says little.
 */
public final class OutcomeRecorder {

    /** The length of a window; a sighting is told at the end of each in which a call ended. */
    public static final double WINDOW_MS = 1000;

    /**
     * So many windows make a sighting: of a server that fails from now on, half of it is bad after
     * two.
     */
    private static final int WINDOWS = 3;

    /** How a call to a server ended, as far as it speaks for or against the server. */
    public enum CallOutcome {
        /** It was answered. */
        ANSWERED,
        /** No connection came up. */
        UNREACHABLE,
        /** It was answered with an error, or something that cannot be read. */
        ERROR,
        /** No answer came, or the connection broke. */
        SILENT
    }

    private static final class Seen {
        final int[][] windows = new int[WINDOWS][CallOutcome.values().length];
        boolean news;

        int sum(CallOutcome fate) {
            int sum = 0;
            for (int[] window : windows) {
                sum += window[fate.ordinal()];
            }
            return sum;
        }

        int attempts() {
            int sum = 0;
            for (CallOutcome fate : CallOutcome.values()) {
                sum += sum(fate);
            }
            return sum;
        }
    }

    private final ObservationStore store;
    private final Map<String, Seen> seen = new HashMap<>();
    private double endMs;
    private int window;

    /** Tells what it sees to a store. */
    public OutcomeRecorder(double now, ObservationStore store) {
        this.store = store;
        endMs = now + WINDOW_MS;
    }

    /** A call has ended. */
    public void saw(String server, CallOutcome fate) {
        Seen own = seen.computeIfAbsent(server, s -> new Seen());
        own.windows[window][fate.ordinal()]++;
        own.news = true;
    }

    /** Ends windows whose time is over. */
    public void advance(double now) {
        // Each window that passed in a long pause is an empty one: no more than all need be gone
        // through.
        endMs = Math.max(endMs, now - WINDOWS * WINDOW_MS);
        while (now >= endMs) {
            endMs += WINDOW_MS;
            tell(now);
            window = (window + 1) % WINDOWS;
            for (Iterator<Seen> all = seen.values().iterator(); all.hasNext(); ) {
                Seen each = all.next();
                each.windows[window] = new int[CallOutcome.values().length];
                if (each.attempts() == 0) {
                    all.remove();
                }
            }
        }
    }

    private void tell(double now) {
        seen.forEach(
                (server, own) -> {
                    if (own.news) {
                        own.news = false;
                        store.saw(
                                now,
                                server,
                                own.attempts(),
                                own.sum(CallOutcome.UNREACHABLE),
                                own.sum(CallOutcome.ERROR),
                                own.sum(CallOutcome.SILENT));
                    }
                });
    }
}
