package poppynotch.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.LongSupplier;

/**
 * The virtual clock of a run, in milliseconds since its start, and its queue of events. The time
 * does not advance while an event runs. All processes of a run share it, in one thread.
 */
final class VirtualTime implements LongSupplier {

    /** The events of each millisecond in the order of their scheduling; null for none. */
    private final List<Queue<Runnable>> eventsByMs = new ArrayList<>();

    private long nowMs;

    @Override
    public long getAsLong() {
        return nowMs;
    }

    /** Schedules an action; actions of the same time run in the order of scheduling. */
    void after(long delayMs, Runnable action) {
        int timeMs = Math.toIntExact(nowMs + delayMs);
        while (eventsByMs.size() <= timeMs) {
            eventsByMs.add(null);
        }
        Queue<Runnable> events = eventsByMs.get(timeMs);
        if (events == null) {
            events = new ArrayDeque<>();
            eventsByMs.set(timeMs, events);
        }
        events.add(action);
    }

    /** Schedules an action at a time, or now if that has passed. */
    void at(long timeMs, Runnable action) {
        after(Math.max(0, timeMs - nowMs), action);
    }

    /** Runs all events up to and including {@code endMs} and advances the time to it. */
    void runUntil(long endMs) {
        while (nowMs < endMs) {
            runEventsOfNow();
            nowMs++;
        }
        runEventsOfNow();
    }

    private void runEventsOfNow() {
        int timeMs = Math.toIntExact(nowMs);
        Queue<Runnable> events = timeMs < eventsByMs.size() ? eventsByMs.get(timeMs) : null;
        if (events == null) {
            return;
        }
        for (Runnable action = events.poll(); action != null; action = events.poll()) {
            action.run();
        }
        eventsByMs.set(timeMs, null);
    }
}
