package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpRequest;
import poppynotch.balancer.AttemptOutcome;

/**
 * One request on its way to an endpoint, on one connection. It is made by {@link EndpointPool},
 * driven by its {@link EndpointConnection}, and used on the sidecar's event loop only. The request
 * is released by the channel that it is written to, or by whoever fails the attempt before that.
 */
final class EndpointAttempt {

    final HttpRequest request;

    /** Its body where that is relayed as it comes, else null. */
    final RelayedBody upload;

    /** After this, on the sidecar's clock, its last byte must not go out any more. */
    final double latestWriteMs;

    /** Null once it has been notified of the end, or the attempt is abandoned. */
    private AttemptListener listener;

    private EndpointConnection connection;

    /** The last byte has been handed to the network: from here on the request may have run. */
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

    /** Whether somebody still waits for its outcome. */
    boolean isPending() {
        return listener != null;
    }

    /** Whether all of it has gone out, so that it may run. */
    boolean isWritten() {
        return written;
    }

    void setWritten(boolean success) {
        written = success;
    }

    /** It goes out on this connection. */
    void assignConnection(EndpointConnection assigned) {
        connection = assigned;
    }

    /**
     * Stops waiting and closes the connection, by which the endpoint notices; true if the request
     * may have run.
     */
    boolean abandon() {
        listener = null;
        connection.close();
        // No more of the body may go there, while the connection closes, than has gone.
        detachUpload();
        return written;
    }

    /** No more of the body goes to the connection of this attempt. */
    void detachUpload() {
        if (upload != null) {
            upload.detach(connection);
        }
    }

    /** A large response has begun. */
    void startStream(EndpointResponse response) {
        if (listener != null) {
            listener.onStreamStarted(response);
        }
    }

    /** It has ended; only the first call is notified. */
    void finish(AttemptOutcome outcome, EndpointResponse response) {
        AttemptListener notified = listener;
        listener = null;
        if (notified != null) {
            notified.onFinished(outcome, response);
        }
    }
}
