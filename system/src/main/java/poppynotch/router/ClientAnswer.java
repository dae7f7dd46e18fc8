package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Where the answer to one client's request goes. */
interface ClientAnswer {

    /** A whole answer of a server; the body is the client's from now on. */
    void whole(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** The head of an answer whose body follows in parts. */
    void begin(HttpResponseStatus status, HttpHeaders headers);

    /** A part of the body, the client's from now on; false if it should pause. */
    boolean part(ByteBuf data);

    /** The body is whole. */
    void end();

    /** The body will not be whole: the connection ends, so that it does not look so. */
    void breakOff();

    /**
     * An answer of this program; {@code retryAfterMs} is 0 where it says nothing of coming back.
     */
    void own(LocalResponse reply, long retryAfterMs);
}
