package poppynotch.lab.socket;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import poppynotch.lab.world.SimulationClock;

/** Real time in milliseconds from its construction; alarms run on the event loop of the day. */
final class LoopTime implements SimulationClock {

    private final EventLoop loop;
    private final long startedNanos = System.nanoTime();
    private final long startedUnixMs = System.currentTimeMillis();

    LoopTime(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    /** Converts a time of this clock to Unix milliseconds; 0, which stands for long ago, stays. */
    long unixMs(double time) {
        return time <= 0 ? 0 : startedUnixMs + Math.round(time);
    }

    @Override
    public Timer schedule(double ms, Runnable task) {
        Future<?> future =
                loop.schedule(task, (long) (Math.max(0, ms) * 1e6), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
