package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.stream.Stream;

/**
 * The headers of requests: the names that this sidecar reads, and the copy of a client's headers
 * that may be forwarded to an endpoint. It has no state.
 */
final class RequestHeaders {

    /** How long the sender waits for the response, in whole milliseconds. */
    static final String DEADLINE_MS = "X-Deadline-Ms";

    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String REQUEST_ID = "X-Request-Id";
    static final String REQUEST_CLASS = "X-Class";
    static final String TENANT = "X-Tenant";

    /** {@code 1} on a request that the client sends again. */
    static final String RETRY = "X-Retry";

    /** Headers that concern one connection only. */
    private static final List<CharSequence> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.PROXY_CONNECTION,
                    "keep-alive",
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);

    private RequestHeaders() {}

    /** A copy of a client's headers without those that concern its own connection only. */
    static HttpHeaders endToEnd(HttpHeaders received) {
        HttpHeaders headers = received.copy();
        // A client may name more headers that are for this connection only, but not what a
        // request needs.
        received.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(named -> Stream.of(named.split(",")))
                .map(String::trim)
                .filter(RequestHeaders::isRemovable)
                .forEach(headers::remove);
        HOP_BY_HOP.forEach(headers::remove);
        return headers;
    }

    private static boolean isRemovable(String name) {
        return !name.isEmpty()
                && !name.equalsIgnoreCase(REQUEST_ID)
                && !name.equalsIgnoreCase(IDEMPOTENCY_KEY)
                && !name.equalsIgnoreCase("Content-Length");
    }
}
