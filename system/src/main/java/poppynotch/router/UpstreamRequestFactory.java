package poppynotch.router;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import poppynotch.config.Route;
import poppynotch.config.Tenant;
import poppynotch.pool.Slot;
import poppynotch.transport.HeadText;

/**
 * Creates the upstream requests for one client request, one for each attempt. Used on the edge's
 * event loop only.
 */
final class UpstreamRequestFactory {

    private static final int MAX_PRIORITY = 9;

    private final ClientRequest request;
    private final Optional<Tenant> tenant;
    private final int priority;
    private final long deadlineMs;

    /**
     * Creates the factory for the attempts of one request.
     *
     * @param deadlineMs when the client stops waiting, on the edge's monotonic clock
     */
    UpstreamRequestFactory(
            ClientRequest request, Route route, Optional<Tenant> tenant, long deadlineMs) {
        this.request = request;
        this.tenant = tenant;
        this.deadlineMs = deadlineMs;
        // The tenant's priority overrides the route's; a negative one means that it has none.
        int requested =
                tenant.map(Tenant::priority)
                        .filter(tenantPriority -> tenantPriority >= 0)
                        .orElse(route.priority());
        priority = Math.max(0, Math.min(MAX_PRIORITY, requested));
    }

    /**
     * Creates the request for an attempt on a slot. The caller owns the request, whose body is a
     * retained duplicate of the client's body.
     *
     * @param lastEventId the last event passed to the client if a stream is resumed, else empty
     */
    FullHttpRequest create(Slot slot, long nowMs, Optional<String> lastEventId) {
        HttpHeaders headers = Headers.endToEnd(request.headers());
        headers.remove(HttpHeaderNames.AUTHORIZATION);
        // A tenant header that the client has set is never forwarded.
        headers.remove(Headers.TENANT);
        tenant.ifPresent(known -> headers.set(Headers.TENANT, HeadText.encode(known.name())));
        headers.set(Headers.PRIORITY, priority);
        headers.set(Headers.DEADLINE, Math.max(1, deadlineMs - nowMs));
        headers.set(Headers.EXPECT_INSTANCE, HeadText.encode(slot.serverId()));
        headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        lastEventId.ifPresent(id -> headers.set(Headers.LAST_EVENT_ID, id));
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.body().retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }
}
