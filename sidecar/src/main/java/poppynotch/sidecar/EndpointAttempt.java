package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpRequest;
import poppynotch.balancer.AttemptOutcome;

/**
 * An attempt to send one request to an endpoint, on one connection. It is created by {@link
 * EndpointPool}, driven by its {@link EndpointConnection}, and used on the sidecar's event loop
 * only. The request is released by the channel that it is written to, or by the class that fails
 * the attempt before that.
 */
final class EndpointAttempt {

    final HttpRequest request;

    /** Its body if that is relayed while it is received, else null. */
    final RelayedBody upload;

    /** The latest time, on the sidecar's clock, at which its last byte may be written. */
    final double latestWriteMs;

    /** Null once it was notified of the end, or the attempt was abandoned. */
    private AttemptListener listener;

    private EndpointConnection connection;

    /** The last byte has been written to the socket: the request may run from then on. */
    private boolean written;

    EndpointAttempt(
            HttpRequest request,
            RelayedBody upload,
            double latestWriteMs,
            AttemptListener listener) {
        this.request = request;
        this.upload = upload;
        this.latestWriteMs = latestWriteMs;
        this.listener = listener;
    }

    /** Whether a listener still waits for its outcome. */
    boolean isPending() {
        return listener != null;
    }

    /** Whether the request has been written completely, so that it may run. */
    boolean isWritten() {
        return written;
    }

    void setWritten(boolean success) {
        written = success;
    }

    /** Sets the connection that the request is written to. */
    void assignConnection(EndpointConnection assigned) {
        connection = assigned;
    }

    /**
     * Stops waiting for the response and closes the connection, so that the endpoint can cancel the
     * request. Returns whether the request may have run.
     */
    boolean abandon() {
        listener = null;
        connection.close();
        // While the connection closes, no more of the body may be written to it.
        detachUpload();
        return written;
    }

    /** Stops relaying the body to the connection of this attempt. */
    void detachUpload() {
        if (upload != null) {
            upload.detach(connection);
        }
    }

    /** Notifies the listener that a large response has begun. */
    void startStream(EndpointResponse response) {
        if (listener != null) {
            listener.onStreamStarted(response);
        }
    }

    /** Ends the attempt; only the first call notifies the listener. */
    void finish(AttemptOutcome outcome, EndpointResponse response) {
        AttemptListener notified = listener;
        listener = null;
        if (notified != null) {
            notified.onFinished(outcome, response);
        }
    }
}
