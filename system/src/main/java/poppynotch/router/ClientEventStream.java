package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * The event stream to one client. It may span several attempts: after a server fails, the next one
 * resumes the stream after the last event that was passed to the client. Owned by a {@link
 * RequestExchange} and used on the edge's event loop only. It holds no buffers.
 */
final class ClientEventStream {

    private final ClientResponseWriter client;
    private boolean started;
    private Optional<String> lastEventId = Optional.empty();

    ClientEventStream(ClientResponseWriter client) {
        this.client = client;
    }

    /** Whether the head of the response was passed to the client. */
    boolean isStarted() {
        return started;
    }

    /** The id of the last event passed to the client; empty if there is none. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Passes events to the client, preceded by the head of the response on the first call.
     *
     * @param events ownership passes to the client's connection, which releases them
     * @param newLastEventId the id of the last of these events
     * @return false if the client's connection is not writable and reading from the server should
     *     pause
     */
    boolean forward(HttpResponse head, ByteBuf events, Optional<String> newLastEventId) {
        if (!started) {
            started = true;
            client.writeHead(head.status(), Headers.endToEnd(head.headers()));
        }
        boolean writable = client.writeChunk(events);
        lastEventId = newLastEventId;
        return writable;
    }
}
