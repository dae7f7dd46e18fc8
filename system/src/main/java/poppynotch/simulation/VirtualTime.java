package poppynotch.simulation;

import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/** A clock that stands still between events. */
final class VirtualTime implements LongSupplier {

    private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs
                    ? Long.compare(atMs, other.atMs)
                    : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;
    private long nowMs;

    @Override
    public long getAsLong() {
        return nowMs;
    }

    /** Runs an action later; actions of the same time run in the order in which they were given. */
    void after(long ms, Runnable action) {
        events.add(new Event(nowMs + ms, order++, action));
    }

    /** Runs an action at a time, or now if that has passed. */
    void at(long ms, Runnable action) {
        after(Math.max(0, ms - nowMs), action);
    }

    /** Runs all events up to a time. */
    void runUntil(long ms) {
        while (!events.isEmpty() && events.peek().atMs() <= ms) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = ms;
    }
}
