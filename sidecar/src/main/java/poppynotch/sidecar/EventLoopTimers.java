package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Timers on an event loop whose delays are fractions of milliseconds. It has no state. */
final class EventLoopTimers {

    private static final double NANOS_PER_MS = 1e6;

    private EventLoopTimers() {}

    /** Runs a task on the loop after a delay; at once where the delay is negative. */
    static Future<?> schedule(EventLoop loop, double delayMs, Runnable task) {
        long delayNanos = (long) (Math.max(0, delayMs) * NANOS_PER_MS);
        return loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }
}
