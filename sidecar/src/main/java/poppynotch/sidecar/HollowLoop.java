package poppynotch.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.AbstractEventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The event loop of one hollow member, carried by a loop that it shares with others. It is to the
 * member what the process is to a real sidecar: when it shuts down, at once and without a word, its
 * timers are cancelled, its channels are closed and nothing of it runs again, while the loop that
 * carries it goes on. Tasks and timers go straight to the carrier, so that whatever runs for a
 * member runs on the one thread that owns its state.
 */
final class HollowLoop extends AbstractEventExecutor implements EventLoop {

    /**
     * Timers that are over are dropped when there are so many, and then at twice those that are
     * left.
     */
    private static final int FEW_TIMERS = 16;

    private final EventLoop carrier;
    private final DefaultChannelGroup channels;
    private final Promise<Void> terminated;
    private final List<ScheduledFuture<?>> timers = new ArrayList<>();
    private int pruneAt = FEW_TIMERS;
    private volatile boolean ended;

    HollowLoop(EventLoop carrier) {
        this.carrier = carrier;
        // A channel that registers after the end is closed by the group.
        channels = new DefaultChannelGroup(carrier, true);
        terminated = carrier.newPromise();
    }

    @Override
    public EventLoop next() {
        return this;
    }

    @Override
    public EventLoopGroup parent() {
        return carrier.parent();
    }

    @Override
    public boolean inEventLoop(Thread thread) {
        return carrier.inEventLoop(thread);
    }

    /** Runs a task on the carrier; after the end it is rejected. */
    @Override
    public void execute(Runnable task) {
        if (ended) {
            throw new RejectedExecutionException("this member has ended");
        }
        carrier.execute(task);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return timer(() -> carrier.schedule(task, delay, unit));
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
        return timer(() -> carrier.schedule(task, delay, unit));
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long first, long period, TimeUnit unit) {
        return timer(() -> carrier.scheduleAtFixedRate(task, first, period, unit));
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long first, long delay, TimeUnit unit) {
        return timer(() -> carrier.scheduleWithFixedDelay(task, first, delay, unit));
    }

    /** What ends with the member sets timers on its way out; these are cancelled as they come. */
    private synchronized <F extends ScheduledFuture<?>> F timer(Supplier<F> begin) {
        F timer = begin.get();
        if (ended) {
            timer.cancel(false);
            return timer;
        }
        if (timers.size() >= pruneAt) {
            timers.removeIf(Future::isDone);
            pruneAt = Math.max(FEW_TIMERS, 2 * timers.size());
        }
        timers.add(timer);
        return timer;
    }

    @Override
    public ChannelFuture register(Channel channel) {
        ChannelFuture registered = carrier.register(channel);
        channels.add(channel);
        return registered;
    }

    @Override
    public ChannelFuture register(ChannelPromise promise) {
        ChannelFuture registered = carrier.register(promise);
        channels.add(promise.channel());
        return registered;
    }

    @Override
    @Deprecated
    public ChannelFuture register(Channel channel, ChannelPromise promise) {
        ChannelFuture registered = carrier.register(channel, promise);
        channels.add(channel);
        return registered;
    }

    /**
     * Ends at once, whatever times are given; what is returned is done when all channels are
     * closed.
     */
    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        carrier.execute(this::end);
        return terminated;
    }

    @Override
    @Deprecated
    public void shutdown() {
        carrier.execute(this::end);
    }

    private void end() {
        synchronized (this) {
            ended = true;
            timers.forEach(timer -> timer.cancel(false));
            timers.clear();
        }
        channels.close().addListener(closed -> terminated.trySuccess(null));
    }

    @Override
    public Future<?> terminationFuture() {
        return terminated;
    }

    @Override
    public boolean isShuttingDown() {
        return ended;
    }

    @Override
    public boolean isShutdown() {
        return ended;
    }

    @Override
    public boolean isTerminated() {
        return terminated.isDone();
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) throws InterruptedException {
        return terminated.await(timeout, unit);
    }
}
