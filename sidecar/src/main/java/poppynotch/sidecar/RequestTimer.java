package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The one timer of a {@link ClientConnection}: it limits the time for the head of a request, then
 * watches the pace of its body; it limits the time for the rest of a request that is discarded, and
 * at the end the time for the peer's close. It runs on the sidecar's event loop and holds no
 * buffers.
 */
final class RequestTimer {

    /**
     * A request may take so long, or its head may: after that its body has to come on at a pace.
     */
    private static final int REQUEST_HEAD_TIMEOUT_MS = 2000;

    /**
     * It comes on if in so long so much of it comes, a quarter of the slowest pace there may be. A
     * peer that sends no request must have an error or a close 3 s after it connected, so both
     * times together are less.
     */
    private static final int PACE_INTERVAL_MS = 600;

    private static final int MIN_BYTES_PER_PACE_INTERVAL = 10 * 1024;

    /** For so long the rest of a body is still read after its request has had its response. */
    private static final int DISCARD_TIMEOUT_MS = 2000;

    /** The connection that the timer belongs to. */
    interface Listener {
        /** Whether the head of a request has been received, and not yet all of its body. */
        boolean isReceivingBody();

        /** Whether this side reads at all. */
        boolean isReadEnabled();

        /** The request took too long, or the rest of it did. */
        void onRequestTooSlow();
    }

    private final EventLoop loop;
    private final Listener listener;

    /** Null while the timer does not run. */
    private Future<?> timer;

    private int bytesInPaceInterval;

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

    /** A request is awaited, or has begun to arrive; the timer must not be running. */
    void startRequest() {
        schedule(this::startPaceInterval, REQUEST_HEAD_TIMEOUT_MS);
    }

    /** The rest of a request is discarded from now on. */
    void startDiscarding() {
        stop();
        schedule(listener::onRequestTooSlow, DISCARD_TIMEOUT_MS);
    }

    /** Runs a task after so long, instead of what the timer was running for. */
    void restart(Runnable task, int delayMs) {
        stop();
        schedule(task, delayMs);
    }

    /** So many bytes of a body have been received. */
    void onBodyBytes(int bytes) {
        bytesInPaceInterval += bytes;
    }

    /** Bodies are judged by how they come on, as large ones may take long. */
    private void startPaceInterval() {
        bytesInPaceInterval = 0;
        schedule(this::checkPace, PACE_INTERVAL_MS);
    }

    private void checkPace() {
        boolean keepsPace =
                listener.isReceivingBody() && bytesInPaceInterval >= MIN_BYTES_PER_PACE_INTERVAL;
        // A peer is not too slow while this side does not read.
        if (keepsPace || !listener.isReadEnabled()) {
            startPaceInterval();
        } else {
            listener.onRequestTooSlow();
        }
    }

    private void schedule(Runnable task, int delayMs) {
        timer = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }
}
