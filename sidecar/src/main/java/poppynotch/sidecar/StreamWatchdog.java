package poppynotch.sidecar;

import io.netty.channel.EventLoop;

/**
 * Watches relayed responses, to which no deadline applies any more, and reports those that stall.
 * It is owned by {@link Exchange} and runs on the sidecar's event loop; it holds no buffers.
 */
final class StreamWatchdog {

    /**
     * A stream without progress for this long has stalled; no peer that still sends pauses nearly
     * as long.
     */
    private static final double STALL_TIMEOUT_MS = 10_000;

    /**
     * How long a client may leave a response unread, which may be queued behind another one on its
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
        double remainingMs = download.lastProgressMs() + timeoutMs - clock.nowMs();
        if (attempt.finished) {
            return;
        }
        if (remainingMs > 0) {
            // Which of the two timeouts applies may change meanwhile.
            checkAfter(Math.min(remainingMs, STALL_TIMEOUT_MS), attempt, download, onStalled);
        } else {
            onStalled.run();
        }
    }
}
