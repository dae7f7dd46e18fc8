package poppynotch.router;

import io.netty.handler.codec.http.HttpResponseStatus;

/** An answer of this program's own. */
enum LocalResponse {
    /** There is no such route. */
    NO_ROUTE(HttpResponseStatus.NOT_FOUND, 0),
    /** The key is not known. */
    NO_KEY(HttpResponseStatus.UNAUTHORIZED, 0),
    /** The request can't be read. */
    UNREADABLE(HttpResponseStatus.BAD_REQUEST, 0),
    TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0),
    HEAD_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 0),
    /** It lies beyond the tenant's quota. It has not run and will not. */
    OVER_QUOTA(HttpResponseStatus.TOO_MANY_REQUESTS, 500),
    /** No slot is free. It has not run and will not. */
    FULL(HttpResponseStatus.SERVICE_UNAVAILABLE, 60),
    /** It may have run. */
    BROKEN(HttpResponseStatus.BAD_GATEWAY, 0),
    /** Its time is over; it may have run. */
    TIMED_OUT(HttpResponseStatus.GATEWAY_TIMEOUT, 0);

    private final HttpResponseStatus status;
    private final long retryAfterMs;

    LocalResponse(HttpResponseStatus status, long retryAfterMs) {
        this.status = status;
        this.retryAfterMs = retryAfterMs;
    }

    HttpResponseStatus status() {
        return status;
    }

    /** When to come back, in ms; 0 if it does not say. */
    long retryAfterMs() {
        return retryAfterMs;
    }
}
