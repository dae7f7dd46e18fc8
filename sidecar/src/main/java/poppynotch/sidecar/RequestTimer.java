package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The one timer of a {@link ClientConnection}: it limits the time for the head of a request, then
 * checks the data rate of its body; it limits the time for the rest of a request that is discarded,
 * and at the end the time for the peer's close. It runs on the sidecar's event loop and holds no
 * buffers.
 */
final class RequestTimer {

    /**
     * How long the head of a request may take; after that its body must keep a minimum data rate.
     */
    private static final int REQUEST_HEAD_TIMEOUT_MS = 2000;

    /**
     * The minimum data rate, in bytes per interval: a quarter of the lowest rate of a valid client.
     * A peer that sends no request must get an error or a close within 3 s after it connected, so
     * the head timeout and one interval together are less.
     */
    private static final int RATE_CHECK_INTERVAL_MS = 600;

    private static final int MIN_BYTES_PER_RATE_CHECK = 10 * 1024;

    /** How long the rest of a body is read and dropped after its request has had its response. */
    private static final int DISCARD_TIMEOUT_MS = 2000;

    /** The connection that the timer belongs to. */
    interface Listener {
        /** Whether the head of a request has been received, and not yet all of its body. */
        boolean isReceivingBody();

        /** Whether reading is enabled on the connection. */
        boolean isReadEnabled();

        /** The request, or the rest of it that is discarded, took too long. */
        void onRequestTooSlow();
    }

    private final EventLoop loop;
    private final Listener listener;

    /** Null while no task is scheduled. */
    private Future<?> timer;

    private int bytesSinceRateCheck;

    RequestTimer(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    boolean isRunning() {
        return timer != null;
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Starts the timeout for the head of a request; the timer must not be running. */
    void startRequest() {
        schedule(this::scheduleRateCheck, REQUEST_HEAD_TIMEOUT_MS);
    }

    /** Starts the timeout for the rest of a request that is discarded. */
    void startDiscarding() {
        stop();
        schedule(listener::onRequestTooSlow, DISCARD_TIMEOUT_MS);
    }

    /** Runs a task after a delay, in place of the scheduled one. */
    void restart(Runnable task, int delayMs) {
        stop();
        schedule(task, delayMs);
    }

    /** Counts received bytes of a body. */
    void onBodyBytes(int bytes) {
        bytesSinceRateCheck += bytes;
    }

    /** Bodies are limited by their data rate and not in time, as large ones may take long. */
    private void scheduleRateCheck() {
        bytesSinceRateCheck = 0;
        schedule(this::checkRate, RATE_CHECK_INTERVAL_MS);
    }

    private void checkRate() {
        boolean isFastEnough =
                listener.isReceivingBody() && bytesSinceRateCheck >= MIN_BYTES_PER_RATE_CHECK;
        // A peer is not too slow while this side does not read.
        if (isFastEnough || !listener.isReadEnabled()) {
            scheduleRateCheck();
        } else {
            listener.onRequestTooSlow();
        }
    }

    private void schedule(Runnable task, int delayMs) {
        timer = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }
}
