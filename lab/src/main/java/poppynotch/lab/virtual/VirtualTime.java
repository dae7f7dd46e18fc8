package poppynotch.lab.virtual;

import java.util.PriorityQueue;
import poppynotch.lab.world.Time;

/**
 * A clock that jumps from one thing that is to happen to the next; equal times keep the order of
 * asking.
 */
public final class VirtualTime implements Time {

    /** Times begin here: 0 means long ago to the decisions. */
    private static final double START_MS = 1_000_000;

    private static final class Task implements Alarm, Comparable<Task> {
        final double at;
        final long order;
        Runnable what;

        Task(double at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }

        @Override
        public void cancel() {
            what = null;
        }

        @Override
        public int compareTo(Task other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>(1024);
    private double now = START_MS;
    private long asked;
    private long done;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Alarm after(double ms, Runnable task) {
        Task next = new Task(now + Math.max(0, ms), asked++, task);
        tasks.add(next);
        return next;
    }

    /** Does what comes next; false where nothing is left or the next lies beyond {@code until}. */
    public boolean step(double until) {
        Task next = tasks.peek();
        if (next == null || next.at > until) {
            return false;
        }
        tasks.poll();
        Runnable what = next.what;
        if (what != null) {
            now = next.at;
            done++;
            what.run();
        }
        return true;
    }

    /** How many things have happened. */
    public long events() {
        return done;
    }
}
