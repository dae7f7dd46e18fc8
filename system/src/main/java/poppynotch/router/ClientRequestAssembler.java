package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Assembles a client request from its head and its body chunks, one request at a time. Owned by a
 * {@link ClientConnection}; used on the edge's event loop only. It owns the body until {@link
 * #complete} returns it or {@link #discard} releases it.
 */
final class ClientRequestAssembler {

    /** The head of the request that is being read; null between requests. */
    private HttpRequest head;

    private ByteBuf body;
    private long startedMs;

    /** Whether an incomplete request is being read. */
    boolean isReading() {
        return head != null;
    }

    /** When the head of the current or last request was read. */
    long startedMs() {
        return startedMs;
    }

    /**
     * Starts a request.
     *
     * @param emptyBody the buffer for the body; ownership passes to the assembler
     */
    void start(HttpRequest newHead, ByteBuf emptyBody, long nowMs) {
        head = newHead;
        body = emptyBody;
        startedMs = nowMs;
    }

    /** The size that the body would have with {@code chunk}. */
    long sizeWith(ByteBuf chunk) {
        return (long) body.readableBytes() + chunk.readableBytes();
    }

    /**
     * Appends a chunk to the body unless there is no memory for it.
     *
     * @param chunk copied; ownership stays with the caller
     * @return whether the chunk was appended
     */
    boolean append(ByteBuf chunk, RequestBodyMemory memory) {
        if (!memory.hasRoomToAppend(body, chunk.readableBytes())) {
            return false;
        }
        body.writeBytes(chunk);
        return true;
    }

    /** Completes the current request; ownership of its body passes to the caller. */
    ClientRequest complete() {
        ClientRequest request =
                new ClientRequest(head.method(), head.uri(), head.headers(), body, startedMs);
        head = null;
        body = null;
        return request;
    }

    /** Discards the current request, if any, and releases its body. */
    void discard() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
