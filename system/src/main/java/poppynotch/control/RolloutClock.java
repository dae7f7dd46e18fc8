package poppynotch.control;

import java.util.HashMap;
import java.util.Map;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.ServiceVersions;

/**
 * The times of rollouts on this replica's monotonic clock. A replica that learns of a running
 * rollout computes its start from the elapsed time recorded in the latest step.
 *
 * <p>Owned by {@link RolloutController}; time is passed in.
 */
final class RolloutClock {

    /** An identical order within this time after a rollout's end counts as a retry of it. */
    private static final long REPEAT_WINDOW_MS = 15_000;

    private static final class Times {
        private final long rolloutId;

        /** The earliest of the start times computed from the elapsed times of the known steps. */
        private long startedMs;

        /** When this replica learned of the present step. */
        private long stepLearnedMs;

        private long step = -1;
        private boolean running = true;

        Times(long rolloutId) {
            this.rolloutId = rolloutId;
        }
    }

    private final Map<String, Times> timesByBackend = new HashMap<>();

    /** Records the state of all rollouts. */
    void onTable(long nowMs, RolloutTable table) {
        timesByBackend.keySet().retainAll(table.services().keySet());
        for (ServiceVersions service : table.services().values()) {
            service.rollout().ifPresent(rollout -> update(nowMs, service.backend(), rollout));
        }
    }

    private void update(long nowMs, String backend, Rollout rollout) {
        Times times = timesByBackend.get(backend);
        if (times == null || times.rolloutId != rollout.id()) {
            times = new Times(rollout.id());
            times.startedMs = nowMs - rollout.elapsedMs();
            timesByBackend.put(backend, times);
        }
        times.startedMs = Math.min(times.startedMs, nowMs - rollout.elapsedMs());
        if (times.step != rollout.step()) {
            times.step = rollout.step();
            times.stepLearnedMs = nowMs;
        }
        times.running = rollout.isRunning();
    }

    /** How much of a rollout's term has passed; 0 if the rollout is not known. */
    long elapsedMs(long nowMs, String backend, Rollout rollout) {
        Times times = timesByBackend.get(backend);
        return times == null || times.rolloutId != rollout.id() ? 0 : nowMs - times.startedMs;
    }

    /** Time since this replica learned of a rollout's present step; 0 if that is not known. */
    long stepElapsedMs(long nowMs, String backend, Rollout rollout) {
        Times times = timesByBackend.get(backend);
        boolean known =
                times != null && times.rolloutId == rollout.id() && times.step == rollout.step();
        return known ? nowMs - times.stepLearnedMs : 0;
    }

    /** Whether an identical order no longer counts as a retry of the one that has ended. */
    boolean isPastRepeatWindow(long nowMs, String backend, Rollout ended) {
        Times times = timesByBackend.get(backend);
        return times != null
                && times.rolloutId == ended.id()
                && !times.running
                && nowMs - times.stepLearnedMs > REPEAT_WINDOW_MS;
    }
}
