package poppynotch.simulation;

import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/**
 * The virtual clock of a run, in milliseconds since its start, and its queue of events. The time
 * stands still while an event runs. All processes of a run share it, in one thread.
 */
final class VirtualTime implements LongSupplier {

    private record Event(long timeMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeMs != other.timeMs
                    ? Long.compare(timeMs, other.timeMs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextSequence;
    private long nowMs;

    @Override
    public long getAsLong() {
        return nowMs;
    }

    /** Schedules an action; actions of the same time run in the order of scheduling. */
    void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, nextSequence, action));
        nextSequence++;
    }

    /** Schedules an action at a time, or now if that has passed. */
    void at(long timeMs, Runnable action) {
        after(Math.max(0, timeMs - nowMs), action);
    }

    /** Runs all events up to and including {@code endMs}, which is the time afterwards. */
    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().timeMs() <= endMs) {
            Event next = events.poll();
            nowMs = next.timeMs();
            next.action().run();
        }
        nowMs = endMs;
    }
}
