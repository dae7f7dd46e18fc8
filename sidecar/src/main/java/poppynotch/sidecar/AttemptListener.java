package poppynotch.sidecar;

import poppynotch.balancer.AttemptOutcome;

/**
 * Is notified of what comes of an {@link EndpointAttempt}, on the sidecar's event loop; nothing
 * comes after {@link EndpointAttempt#abandon}.
 */
interface AttemptListener {

    /** A large response has begun, which is relayed as it comes; its end is notified too. */
    void onStreamStarted(EndpointResponse response);

    /**
     * The attempt has ended; called once.
     *
     * @param response a complete response where the outcome is {@link AttemptOutcome#OK} and the
     *     response was not streamed, else null
     */
    void onFinished(AttemptOutcome outcome, EndpointResponse response);
}
