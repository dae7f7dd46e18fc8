package poppynotch.sidecar;

import poppynotch.balancer.AttemptOutcome;

/**
 * Receives the outcome of an {@link EndpointAttempt}, on the sidecar's event loop; it is not called
 * after {@link EndpointAttempt#abandon}.
 */
interface AttemptListener {

    /** A large response has begun, which is relayed; {@link #onFinished} follows at its end. */
    void onStreamStarted(EndpointResponse response);

    /**
     * The attempt has ended; called once.
     *
     * @param response a complete response if the outcome is {@link AttemptOutcome#OK} and the
     *     response was not streamed, else null
     */
    void onFinished(AttemptOutcome outcome, EndpointResponse response);
}
