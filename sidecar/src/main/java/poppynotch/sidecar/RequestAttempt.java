package poppynotch.sidecar;

import io.netty.util.concurrent.Future;
import poppynotch.balancer.AttemptOutcome;

/**
 * One attempt of an {@link OpenRequest} at one server. It is owned by {@link Exchange}, which
 * changes it on the sidecar's event loop only; it holds no buffers. All times are on the sidecar's
 * clock.
 */
final class RequestAttempt {

    /** Its index among the attempts of its request. */
    final int number;

    final String server;
    final double sentMs;

    /** Null until {@link EndpointPool#send} has returned. */
    EndpointAttempt endpointAttempt;

    /** Null if the attempt ended before it was sent. */
    Future<?> timeoutTimer;

    boolean finished;

    /** Whether its response is relayed while it is received. */
    boolean streaming;

    /** Null until it has finished. */
    AttemptOutcome outcome;

    /** The time to its end, or to the first byte of a response that is relayed. */
    double elapsedMs;

    RequestAttempt(int number, String server, double sentMs) {
        this.number = number;
        this.server = server;
        this.sentMs = sentMs;
    }
}
