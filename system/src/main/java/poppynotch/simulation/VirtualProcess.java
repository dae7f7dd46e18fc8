package poppynotch.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A process that can be killed, restarted, frozen and resumed. Actions that reach it while it is
 * frozen run when it resumes.
 */
abstract class VirtualProcess {

    protected final VirtualTime time;
    private final String name;
    private final Deque<Runnable> actionsWhileFrozen = new ArrayDeque<>();
    private boolean up;
    private boolean frozen;
    private long frozenSinceMs;
    private int startCount;
    private long startedMs;

    VirtualProcess(String name, VirtualTime time) {
        this.name = name;
        this.time = time;
    }

    /** The name, which is also the address on the virtual network. */
    String name() {
        return name;
    }

    boolean isUp() {
        return up;
    }

    boolean isFrozen() {
        return frozen;
    }

    /**
     * Increases with each start and each end; actions with the same count run in one incarnation.
     */
    int startCount() {
        return startCount;
    }

    /** When the latest incarnation started. */
    long startedMs() {
        return startedMs;
    }

    /** Starts a new incarnation if the process is not up. */
    final void start() {
        if (up) {
            return;
        }
        startCount++;
        startedMs = time.getAsLong();
        up = true;
        frozen = false;
        onStart();
    }

    /** Initializes a new incarnation. */
    abstract void onStart();

    /** Ends the process at once. */
    void kill() {
        startCount++;
        up = false;
        frozen = false;
        actionsWhileFrozen.clear();
    }

    /** Suspends the process until {@link #resume}; no effect if it is not up. */
    void freeze() {
        frozen = up;
        frozenSinceMs = time.getAsLong();
    }

    /** Whether the process has been frozen for at least {@code durationMs}. */
    boolean isFrozenFor(long durationMs) {
        return frozen && time.getAsLong() - frozenSinceMs >= durationMs;
    }

    /** Resumes the process and runs the actions that reached it while it was frozen. */
    void resume() {
        frozen = false;
        Deque<Runnable> pending = new ArrayDeque<>(actionsWhileFrozen);
        actionsWhileFrozen.clear();
        pending.forEach(this::run);
    }

    /** Runs an action in this process: once it resumes if it is frozen, never if it is down. */
    final void run(Runnable action) {
        if (frozen) {
            actionsWhileFrozen.add(action);
        } else if (up) {
            action.run();
        }
    }

    /** Runs an action after a delay, unless this incarnation has ended by then. */
    final void runLater(long delayMs, Runnable action) {
        int scheduledStartCount = startCount;
        time.after(
                delayMs,
                () -> {
                    if (startCount == scheduledStartCount) {
                        run(action);
                    }
                });
    }

    /** Runs an action repeatedly until this incarnation ends. */
    final void runPeriodically(long intervalMs, Runnable action) {
        runLater(
                intervalMs,
                () -> {
                    action.run();
                    runPeriodically(intervalMs, action);
                });
    }
}
