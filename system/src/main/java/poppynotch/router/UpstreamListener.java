package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears what becomes of one request at a server. Nothing is told after the end, or after a cancel.
 */
interface UpstreamListener {

    /** How sending a request ended without a whole answer. */
    enum Failure {
        /** No connection came up, or nothing of the request has left. */
        NOT_SENT,
        /** The connection ended, or what came was no answer. The request may have run. */
        BROKEN
    }

    /** The head of the answer has come. */
    void head(HttpResponse head);

    /** A part of the body has come; it is valid only during the call. */
    void content(ByteBuf data);

    /** The answer is whole. */
    void end();

    /** There will be no whole answer. */
    void failed(Failure failure);
}
