package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Writes the response to one client's request. For each request either {@link #writeComplete} or
 * {@link #writeLocal} is called once, or {@link #writeHead} with chunks and then {@link #writeEnd}
 * or {@link #abort}. Called on the edge's event loop only.
 */
interface ClientResponseWriter {

    /**
     * Writes a complete response of a server.
     *
     * @param body owned by the writer from now on, which releases it
     */
    void writeComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Writes the head of a response whose body follows in chunks. */
    void writeHead(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Writes a chunk of the body.
     *
     * @param data owned by the writer from now on, which releases it
     * @return false if the client is slow and the next chunk should wait
     */
    boolean writeChunk(ByteBuf data);

    /** Ends a body that is complete. */
    void writeEnd();

    /**
     * Ends a response that stays incomplete, by closing the connection, so that the client does not
     * take it for complete.
     */
    void abort();

    /**
     * Writes a response of this process's own.
     *
     * @param retryAfterMs when the client may retry; 0 if the response does not say
     */
    void writeLocal(LocalResponse response, long retryAfterMs);
}
