package poppynotch.lab.virtual;

import java.util.PriorityQueue;
import poppynotch.lab.world.SimulationClock;

/**
 * Discrete-event clock: jumps from one scheduled task to the next; tasks of equal time run in the
 * order in which they were scheduled. Used on one thread.
 */
public final class VirtualClock implements SimulationClock {

    /** The time at the start: the balancer takes 0 for long ago. */
    private static final double START_MS = 1_000_000;

    private static final class Task implements Timer, Comparable<Task> {
        final double dueAtMs;
        final long sequence;
        Runnable action;

        Task(double at, long order, Runnable what) {
            this.dueAtMs = at;
            this.sequence = order;
            this.action = what;
        }

        @Override
        public void cancel() {
            action = null;
        }

        @Override
        public int compareTo(Task other) {
            int byTime = Double.compare(dueAtMs, other.dueAtMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>(1024);
    private double now = START_MS;
    private long nextSequence;
    private long executedTasks;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer schedule(double ms, Runnable task) {
        Task next = new Task(now + Math.max(0, ms), nextSequence++, task);
        tasks.add(next);
        return next;
    }

    /** Runs the next task; false if none is left or the next is due after {@code until}. */
    public boolean step(double until) {
        Task next = tasks.peek();
        if (next == null || next.dueAtMs > until) {
            return false;
        }
        tasks.poll();
        Runnable what = next.action;
        if (what != null) {
            now = next.dueAtMs;
            executedTasks++;
            what.run();
        }
        return true;
    }

    /** How many tasks have run. */
    public long events() {
        return executedTasks;
    }
}
