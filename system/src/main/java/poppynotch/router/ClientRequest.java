package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete client request.
 *
 * @param uri path and query
 * @param body released by the {@link RequestExchange}, or by the {@link ClientConnection} if the
 *     request is rejected
 * @param arrivedMs when the head was read, on the edge's monotonic clock
 */
record ClientRequest(
        HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, long arrivedMs) {

    /** The path without its query. */
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
