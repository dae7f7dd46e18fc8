package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * The event stream to one client. It outlives the attempts that fill it: where a server fails, the
 * next one resumes behind the last event that the client has received. Owned by a {@link
 * RequestExchange} and used on the edge's event loop only. It holds no buffers.
 */
final class ClientEventStream {

    private final ClientResponseWriter client;
    private boolean started;
    private Optional<String> lastEventId = Optional.empty();

    ClientEventStream(ClientResponseWriter client) {
        this.client = client;
    }

    /** Whether the client has received the head of the response. */
    boolean isStarted() {
        return started;
    }

    /** The id of the last event that was passed to the client. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Passes events to the client, and the head of the response before the first ones.
     *
     * @param events owned by the client's connection from now on, which releases them
     * @param newLastEventId the id of the last one of these events
     * @return false if the client is slow and reading from the server should pause
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
