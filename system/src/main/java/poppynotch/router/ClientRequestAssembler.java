package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Collects the head and the body of one client's request at a time. Owned by a {@link
 * ClientConnection}; used on the edge's event loop only. It owns the body until {@link #complete}
 * hands it out or {@link #discard} releases it.
 */
final class ClientRequestAssembler {

    /** The head of the request that is being read; null between requests. */
    private HttpRequest head;

    private ByteBuf body;
    private long startedMs;

    /** Whether a request is being read that is not complete. */
    boolean isReading() {
        return head != null;
    }

    /** When the head of the request that is being read arrived. */
    long startedMs() {
        return startedMs;
    }

    /**
     * Starts a request.
     *
     * @param emptyBody takes the body, and is the assembler's from now on
     */
    void start(HttpRequest newHead, ByteBuf emptyBody, long nowMs) {
        head = newHead;
        body = emptyBody;
        startedMs = nowMs;
    }

    /**
     * Adds a chunk to the body, unless the body would become larger than allowed.
     *
     * @param chunk still the caller's; its bytes are copied
     * @return whether it was added
     */
    boolean append(ByteBuf chunk, long maxBodyBytes) {
        if (body.readableBytes() + chunk.readableBytes() > maxBodyBytes) {
            return false;
        }
        body.writeBytes(chunk);
        return true;
    }

    /** Ends the request that is being read; its body is the caller's from now on. */
    ClientRequest complete() {
        ClientRequest request =
                new ClientRequest(head.method(), head.uri(), head.headers(), body, startedMs);
        head = null;
        body = null;
        return request;
    }

    /** Releases what was collected of a request that is given up, if there is one. */
    void discard() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
