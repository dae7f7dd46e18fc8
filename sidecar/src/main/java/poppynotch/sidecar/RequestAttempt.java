package poppynotch.sidecar;

import io.netty.util.concurrent.Future;
import poppynotch.balancer.AttemptOutcome;

/**
 * One attempt of an {@link OpenRequest} at one server. It is owned by {@link Exchange}, which
 * changes it on the sidecar's event loop only; it holds no buffers. All times are on the sidecar's
 * clock.
 */
final class RequestAttempt {

    /** Its position among the attempts of its request. */
    final int number;

    final String server;
    final double sentMs;

    /** Null before it is handed to the pool, and where it ended within that call. */
    EndpointAttempt endpointAttempt;

    /** Null where the attempt ended before it was sent. */
    Future<?> timeoutTimer;

    boolean finished;

    /** Its response is relayed as it comes. */
    boolean streaming;

    /** Null until it has finished. */
    AttemptOutcome outcome;

    /** How long it took, or took to its first byte where it is streaming. */
    double elapsedMs;

    RequestAttempt(int number, String server, double sentMs) {
        this.number = number;
        this.server = server;
        this.sentMs = sentMs;
    }
}
