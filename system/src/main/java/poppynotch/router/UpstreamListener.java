package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives a server's response to one request. Called on the edge's event loop, but not after
 * {@link #onComplete} or {@link #onFailure} was called, nor after the call was cancelled.
 */
interface UpstreamListener {

    /** Why a request has no complete response. */
    enum Failure {
        /** No connection was established, or no byte of the request was written. */
        NOT_SENT,
        /**
         * The connection was closed before the response was complete, or the response is malformed.
         * The request may have been executed.
         */
        INCOMPLETE
    }

    /** The head of the response arrived. */
    void onHead(HttpResponse head);

    /**
     * A chunk of the body arrived.
     *
     * @param data owned by the caller and valid only during this call
     */
    void onContent(ByteBuf data);

    /** The response is complete. */
    void onComplete();

    /** There will be no complete response. */
    void onFailure(Failure failure);
}
