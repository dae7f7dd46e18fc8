package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** How an {@link Attempt} ended, as far as the decision about the client's request needs it. */
sealed interface AttemptOutcome {

    /** No connection came up, or no byte of the request was written: it was not executed. */
    record NotSent() implements AttemptOutcome {}

    /** The server is full and stated that it did not execute the request. */
    record Rejected() implements AttemptOutcome {}

    /**
     * Another server answers at the address by now; it did not execute the request.
     *
     * @param serverId the server that was meant
     */
    record Misdirected(String serverId) implements AttemptOutcome {}

    /**
     * The response is missing, incomplete or not from the server.
     *
     * @param mayHaveExecuted false only if the server stated before that it did not execute the
     *     request
     */
    record Failed(boolean mayHaveExecuted) implements AttemptOutcome {}

    /**
     * A complete response that has not been passed to the client yet.
     *
     * @param body owned by the receiver of the outcome, who releases it or passes it on
     */
    record Completed(HttpResponse head, ByteBuf body) implements AttemptOutcome {}

    /** The event stream is complete and all of its events have been passed to the client. */
    record StreamCompleted() implements AttemptOutcome {}
}
