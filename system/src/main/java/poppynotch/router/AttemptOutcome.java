package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** The outcome of an {@link Attempt}, from which the {@link RequestExchange} proceeds. */
sealed interface AttemptOutcome {

    /** No connection was established or nothing was written: the request was not executed. */
    record NotSent() implements AttemptOutcome {}

    /** The server is full and declared that it did not execute the request. */
    record Rejected() implements AttemptOutcome {}

    /**
     * Another server now uses the address; it did not execute the request.
     *
     * @param serverId id of the intended server
     */
    record Misdirected(String serverId) implements AttemptOutcome {}

    /**
     * The response is missing, incomplete or does not come unmodified from the server.
     *
     * @param mayHaveExecuted false only if the head of the response declared that the server did
     *     not execute the request
     */
    record Failed(boolean mayHaveExecuted) implements AttemptOutcome {}

    /**
     * The response is complete and has not been passed to the client yet.
     *
     * @param body ownership passes to the receiver of the outcome
     */
    record Completed(HttpResponse head, ByteBuf body) implements AttemptOutcome {}

    /** The event stream is complete and all of its events were passed to the client. */
    record StreamCompleted() implements AttemptOutcome {}
}
