package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on an event loop with delays in fractional milliseconds. Stateless. */
final class EventLoopTimers {

    private static final double NANOS_PER_MS = 1e6;

    private EventLoopTimers() {}

    /** Runs a task on the loop after a delay; at once if the delay is negative. */
    static Future<?> schedule(EventLoop loop, double delayMs, Runnable task) {
        long delayNanos = (long) (Math.max(0, delayMs) * NANOS_PER_MS);
        return loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }
}
