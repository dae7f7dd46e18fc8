package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.stream.Stream;

/**
 * Names of the request headers that this sidecar uses, and the copy of a client's headers that is
 * forwarded to an endpoint. Stateless.
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

    /** Hop-by-hop headers, which apply to one connection only. */
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

    /** Copies a client's headers without the hop-by-hop ones. */
    static HttpHeaders endToEnd(HttpHeaders received) {
        HttpHeaders headers = received.copy();
        // A client may name further hop-by-hop headers, but not those that a request needs.
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
