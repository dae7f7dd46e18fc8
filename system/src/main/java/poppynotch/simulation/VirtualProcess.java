package poppynotch.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

/** A process that can be killed and frozen. What reaches it while it is frozen waits for it. */
abstract class VirtualProcess {

    protected final VirtualTime time;
    private final String name;
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private boolean up;
    private boolean frozen;
    private long frozenSinceMs;
    private int life;

    VirtualProcess(String name, VirtualTime time) {
        this.name = name;
        this.time = time;
    }

    String name() {
        return name;
    }

    boolean isUp() {
        return up;
    }

    boolean isFrozen() {
        return frozen;
    }

    /** Grows with each start and each end. */
    int life() {
        return life;
    }

    /** Begins a life. */
    final void start() {
        if (up) {
            return;
        }
        life++;
        up = true;
        frozen = false;
        begin();
    }

    /** What a life begins with. */
    abstract void begin();

    /** Ends the life at once. */
    void kill() {
        life++;
        up = false;
        frozen = false;
        inbox.clear();
    }

    void freeze() {
        frozen = up;
        frozenSinceMs = time.getAsLong();
    }

    /** Whether it has stood still for so long. */
    boolean isFrozenFor(long ms) {
        return frozen && time.getAsLong() - frozenSinceMs >= ms;
    }

    void thaw() {
        frozen = false;
        Deque<Runnable> waiting = new ArrayDeque<>(inbox);
        inbox.clear();
        waiting.forEach(this::run);
    }

    /** Runs something as this process; nothing if it is down, later if it is frozen. */
    final void run(Runnable action) {
        if (frozen) {
            inbox.add(action);
        } else if (up) {
            action.run();
        }
    }

    /** Runs something later in this life. */
    final void later(long ms, Runnable action) {
        int ofLife = life;
        time.after(
                ms,
                () -> {
                    if (life == ofLife) {
                        run(action);
                    }
                });
    }

    /** Runs something again and again in this life. */
    final void every(long ms, Runnable action) {
        later(
                ms,
                () -> {
                    action.run();
                    every(ms, action);
                });
    }
}
