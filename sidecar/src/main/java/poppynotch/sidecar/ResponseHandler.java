package poppynotch.sidecar;

/**
 * Receives the final response to a request: {@link Exchange} calls exactly one of the first three
 * methods, once, on the sidecar's event loop.
 */
interface ResponseHandler {

    /** An endpoint served the request; of a large response only the beginning has arrived. */
    void onServed(EndpointResponse response);

    /**
     * The request is rejected and has not run.
     *
     * @param coolDownMs how long the client should wait before it tries again, or 0
     */
    void onRejected(double coolDownMs);

    /** The request failed; it may have run. */
    void onFailed();

    /** Whether the client has disconnected, even if that was not reported yet. */
    boolean isClientGone();
}
