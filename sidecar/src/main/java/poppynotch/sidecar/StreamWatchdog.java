package poppynotch.sidecar;

import io.netty.channel.EventLoop;

/**
 * Watches responses that are relayed as they come, and reports those that stand still: no deadline
 * runs for them any more. It is owned by {@link Exchange} and runs on the sidecar's event loop; it
 * holds no buffers.
 */
final class StreamWatchdog {

    /**
     * A stream is given up when nothing has moved for so long: far longer than any peer that still
     * gives.
     */
    private static final double STALL_TIMEOUT_MS = 10_000;

    /**
     * So long a client may leave a response unread, which may wait behind another on its
     * connection.
     */
    private static final double UNREAD_TIMEOUT_MS = 60_000;

    private final EventLoop loop;
    private final MonotonicClock clock;

    StreamWatchdog(EventLoop loop, MonotonicClock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Watches an attempt's response until the attempt has finished, or the response has stalled.
     */
    void watch(RequestAttempt attempt, RelayedBody download, Runnable onStalled) {
        checkAfter(STALL_TIMEOUT_MS, attempt, download, onStalled);
    }

    private void checkAfter(
            double delayMs, RequestAttempt attempt, RelayedBody download, Runnable onStalled) {
        EventLoopTimers.schedule(loop, delayMs, () -> check(attempt, download, onStalled));
    }

    private void check(RequestAttempt attempt, RelayedBody download, Runnable onStalled) {
        double timeoutMs = download.hasDemand() ? STALL_TIMEOUT_MS : UNREAD_TIMEOUT_MS;
        double leftMs = download.lastProgressMs() + timeoutMs - clock.nowMs();
        if (attempt.finished) {
            return;
        }
        if (leftMs > 0) {
            // Which of the two it is may change meanwhile.
            checkAfter(Math.min(leftMs, STALL_TIMEOUT_MS), attempt, download, onStalled);
        } else {
            onStalled.run();
        }
    }
}
