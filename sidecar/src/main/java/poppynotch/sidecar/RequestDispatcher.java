package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Supplier;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.Request;

/**
 * Routes a client's request by its path: calls go to the {@link Exchange} once they are validated,
 * health checks and errors are answered here. It is owned by {@link Frontend}, shared by its
 * connections and called on the sidecar's event loop only; it holds no buffers.
 */
final class RequestDispatcher {

    /** The {@code Retry-After} of requests that are rejected as a limit is exceeded. */
    static final double OVERFLOW_COOL_DOWN_MS = 1000;

    private final MonotonicClock clock;
    private final Exchange exchange;
    private final ClientConnections connections;
    private final RequestValidator validator;

    /** Why this sidecar is not ready to serve; null while it is. */
    private final Supplier<String> notReadyReason;

    /** The latest deadline of any request, once this process shuts down. */
    private double latestDeadlineMs = Double.POSITIVE_INFINITY;

    RequestDispatcher(
            MonotonicClock clock,
            Exchange exchange,
            ClientConnections connections,
            BalancerSettings settings,
            Supplier<String> notReadyReason) {
        this.clock = clock;
        this.exchange = exchange;
        this.connections = connections;
        this.notReadyReason = notReadyReason;
        validator = new RequestValidator(settings);
    }

    /** Replaces the classes and tenants that requests may name. */
    void applySettings(BalancerSettings settings) {
        validator.applySettings(settings);
    }

    /** Limits the deadlines of new requests to this time, on the sidecar's clock. */
    void limitDeadlines(double latestMs) {
        latestDeadlineMs = latestMs;
    }

    /** Whether deadlines are limited because this process shuts down. */
    boolean limitsDeadlines() {
        return latestDeadlineMs < Double.POSITIVE_INFINITY;
    }

    /**
     * Answers a request, or hands it to the exchange, which answers it later.
     *
     * @param body all of the body, or null for a large one
     * @param upload a large body that is still being received, or null
     */
    void dispatch(ClientResponse response, HttpRequest request, byte[] body, RelayedBody upload) {
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            response.respondPlain(
                    HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation", true);
            return;
        }
        String target = pathAndQuery(request.uri());
        int query = target.indexOf('?');
        switch (query < 0 ? target : target.substring(0, query)) {
            case "/api" -> dispatchCall(response, request, target, body, upload);
            case "/health/ready" -> respondReadiness(response);
            default -> response.respondPlain(HttpResponseStatus.NOT_FOUND, "unknown path", true);
        }
    }

    /** Returns path and query of a target, which may have scheme and host before them. */
    private static String pathAndQuery(String uri) {
        int host = uri.regionMatches(true, 0, "http://", 0, 7) ? 7 : -1;
        int path = host < 0 ? 0 : uri.indexOf('/', host);
        return path < 0 ? "/" : uri.substring(path);
    }

    private void respondReadiness(ClientResponse response) {
        String reason = notReadyReason.get();
        response.respondPlain(
                reason == null ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                reason == null ? "ready" : reason,
                true);
    }

    private void dispatchCall(
            ClientResponse response,
            HttpRequest request,
            String target,
            byte[] body,
            RelayedBody upload) {
        boolean hasBody = upload != null || body.length > 0;
        RequestValidator.Result result = validator.validate(request, hasBody);
        if (result instanceof RequestValidator.Invalid invalid) {
            response.respondPlain(invalid.status(), invalid.reason(), true);
        } else if (result instanceof RequestValidator.Valid valid) {
            if (exchange.isOpen(valid.id())) {
                response.respondPlain(
                        HttpResponseStatus.CONFLICT,
                        RequestHeaders.REQUEST_ID + " is that of a request in hand",
                        true);
            } else if (connections.isOverLimit()) {
                response.closeConnectionAfterwards();
                response.onRejected(OVERFLOW_COOL_DOWN_MS);
            } else {
                response.assignRequestId(valid.id());
                exchange.onRequest(
                        balancerRequest(valid),
                        forwardedRequest(request, target, body, upload),
                        response);
            }
        }
    }

    private Request balancerRequest(RequestValidator.Valid valid) {
        return new Request(
                valid.id(),
                valid.classNumber(),
                valid.tenantNumber(),
                Math.min(latestDeadlineMs, clock.nowMs() + valid.budgetMs()),
                valid.isRetry());
    }

    private static ForwardedRequest forwardedRequest(
            HttpRequest request, String target, byte[] body, RelayedBody upload) {
        HttpHeaders headers = RequestHeaders.endToEnd(request.headers());
        if (upload != null && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (upload == null && body.length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new ForwardedRequest(request.method(), target, headers, body, upload);
    }
}
