package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request, read whole.
 *
 * @param body the request's own, to be released by whoever ends it
 * @param arrivedMs when its first byte was read
 */
record ClientRequest(
        HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, long arrivedMs) {

    /** The path without its query. */
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
