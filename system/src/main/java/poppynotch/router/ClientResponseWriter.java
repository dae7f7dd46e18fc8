package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Writes responses to a client. For each request either {@link #writeComplete} or {@link
 * #writeLocal} is called once, or {@link #writeHead}, {@link #writeChunk} for each chunk, and then
 * {@link #writeEnd} or {@link #abort}. Called on the edge's event loop only.
 */
interface ClientResponseWriter {

    /**
     * Writes a server's complete response.
     *
     * @param body ownership passes to the writer, which releases it
     */
    void writeComplete(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Writes the head of a chunked response. */
    void writeHead(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Writes a chunk of the body.
     *
     * @param data ownership passes to the writer, which releases it
     * @return false if the client's connection is not writable and the next chunk should wait
     */
    boolean writeChunk(ByteBuf data);

    /** Ends the response after its last chunk. */
    void writeEnd();

    /**
     * Closes the connection of an incomplete response, so that the client detects the truncation.
     */
    void abort();

    /**
     * Writes a response that the edge itself generates.
     *
     * @param retryAfterMs when the client may retry; 0 for no Retry-After header
     */
    void writeLocal(LocalResponse response, long retryAfterMs);
}
