package poppynotch.fleet.sharing;

import java.util.HashMap;
import java.util.Map;

/**
 * Records the outcomes of this process's own calls to each server, in windows of a second, and
 * publishes the sums of the last windows as observations. Several windows are summed up because one
 * window of a process with few calls has too few outcomes.
 *
 * <p>Owned by {@link SharedState} and confined to its thread.
 */
public final class OutcomeRecorder {

    /**
     * Length of a window in milliseconds. At the end of each, an observation is published of each
     * server at which a call ended in the window.
     */
    public static final double WINDOW_MS = 1000;

    /**
     * Number of windows that an observation sums up. At a constant call rate, most of an
     * observation's calls have failed once the server has failed for two windows, so that it counts
     * as failing, see {@link HealthConsensus#MIN_FAILURE_FRACTION}.
     */
    private static final int WINDOW_COUNT = 3;

    /** How a call to a server ended, by what it shows of the server's health. */
    public enum CallOutcome {
        /** The server answered. */
        ANSWERED,
        /** The connection could not be established. */
        UNREACHABLE,
        /** The server answered with an error, or with an unreadable response. */
        ERROR,
        /** The call timed out, or the connection broke. */
        TIMED_OUT
    }

    /** The outcomes of calls to one server, by window. */
    private static final class ServerOutcomes {
        final int[][] windows = new int[WINDOW_COUNT][CallOutcome.values().length];

        /** Whether a call ended since the last publication. */
        boolean hasUnpublished;

        int count(CallOutcome outcome) {
            int sum = 0;
            for (int[] window : windows) {
                sum += window[outcome.ordinal()];
            }
            return sum;
        }

        int attempts() {
            int sum = 0;
            for (CallOutcome outcome : CallOutcome.values()) {
                sum += count(outcome);
            }
            return sum;
        }
    }

    private final ObservationStore store;
    private final Map<String, ServerOutcomes> outcomesByServer = new HashMap<>();
    private double windowEndMs;
    private int currentWindow;

    /** Begins the first window. Observations are published to the given store. */
    public OutcomeRecorder(double now, ObservationStore store) {
        this.store = store;
        windowEndMs = now + WINDOW_MS;
    }

    /** Records the outcome of a call. */
    public void onCallEnded(String server, CallOutcome outcome) {
        ServerOutcomes outcomes =
                outcomesByServer.computeIfAbsent(server, name -> new ServerOutcomes());
        outcomes.windows[currentWindow][outcome.ordinal()]++;
        outcomes.hasUnpublished = true;
    }

    /** Ends the windows that are over, and publishes their observations. */
    public void advance(double now) {
        // The windows of a long pause are empty: only as many as an observation sums up need to be
        // ended.
        windowEndMs = Math.max(windowEndMs, now - WINDOW_COUNT * WINDOW_MS);
        while (now >= windowEndMs) {
            windowEndMs += WINDOW_MS;
            publish(now);
            beginNextWindow();
        }
    }

    private void beginNextWindow() {
        currentWindow = (currentWindow + 1) % WINDOW_COUNT;
        for (ServerOutcomes outcomes : outcomesByServer.values()) {
            outcomes.windows[currentWindow] = new int[CallOutcome.values().length];
        }
        outcomesByServer.values().removeIf(outcomes -> outcomes.attempts() == 0);
    }

    private void publish(double now) {
        outcomesByServer.forEach(
                (server, outcomes) -> {
                    if (outcomes.hasUnpublished) {
                        outcomes.hasUnpublished = false;
                        store.recordLocal(
                                now,
                                server,
                                outcomes.attempts(),
                                outcomes.count(CallOutcome.UNREACHABLE),
                                outcomes.count(CallOutcome.ERROR),
                                outcomes.count(CallOutcome.TIMED_OUT));
                    }
                });
    }
}
