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
    private static final int WINDOW_COUNT = 3;

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

    private static final class ServerOutcomes {
        final int[][] windows = new int[WINDOW_COUNT][CallOutcome.values().length];
        boolean hasUnpublished;

        int count(CallOutcome fate) {
            int sum = 0;
            for (int[] window : windows) {
                sum += window[fate.ordinal()];
            }
            return sum;
        }

        int attempts() {
            int sum = 0;
            for (CallOutcome fate : CallOutcome.values()) {
                sum += count(fate);
            }
            return sum;
        }
    }

    private final ObservationStore store;
    private final Map<String, ServerOutcomes> outcomesByServer = new HashMap<>();
    private double windowEndMs;
    private int currentWindow;

    /** Tells what it sees to a store. */
    public OutcomeRecorder(double now, ObservationStore store) {
        this.store = store;
        windowEndMs = now + WINDOW_MS;
    }

    /** A call has ended. */
    public void onCallEnded(String server, CallOutcome fate) {
        ServerOutcomes own = outcomesByServer.computeIfAbsent(server, s -> new ServerOutcomes());
        own.windows[currentWindow][fate.ordinal()]++;
        own.hasUnpublished = true;
    }

    /** Ends windows whose time is over. */
    public void advance(double now) {
        // Each window that passed in a long pause is an empty one: no more than all need be gone
        // through.
        windowEndMs = Math.max(windowEndMs, now - WINDOW_COUNT * WINDOW_MS);
        while (now >= windowEndMs) {
            windowEndMs += WINDOW_MS;
            publish(now);
            currentWindow = (currentWindow + 1) % WINDOW_COUNT;
            for (Iterator<ServerOutcomes> all = outcomesByServer.values().iterator();
                    all.hasNext(); ) {
                ServerOutcomes each = all.next();
                each.windows[currentWindow] = new int[CallOutcome.values().length];
                if (each.attempts() == 0) {
                    all.remove();
                }
            }
        }
    }

    private void publish(double now) {
        outcomesByServer.forEach(
                (server, own) -> {
                    if (own.hasUnpublished) {
                        own.hasUnpublished = false;
                        store.saw(
                                now,
                                server,
                                own.attempts(),
                                own.count(CallOutcome.UNREACHABLE),
                                own.count(CallOutcome.ERROR),
                                own.count(CallOutcome.SILENT));
                    }
                });
    }
}
