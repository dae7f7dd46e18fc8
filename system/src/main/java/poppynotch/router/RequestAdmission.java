package poppynotch.router;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.FleetConfig;
import poppynotch.config.Route;
import poppynotch.config.Tenant;

/**
 * Decides whether a client request is admitted: finds its route and its tenant and acquires the
 * tenant's quota. Used on the edge's event loop only; it is stateless and does not access the body.
 */
final class RequestAdmission {

    private static final Logger LOG = LoggerFactory.getLogger(RequestAdmission.class);

    private static final String BEARER_PREFIX = "Bearer ";

    /** The decision on a request. */
    sealed interface Result {}

    /**
     * The request may be sent to a server.
     *
     * @param quota the quota acquired for the request
     * @param clientTimeoutMs how long the client waits, counted from the arrival of the request
     */
    record Admitted(Route route, QuotaReservation quota, long clientTimeoutMs) implements Result {}

    /**
     * The edge itself responds to the request.
     *
     * @param retryAfterMs when the client may retry; 0 for no Retry-After header
     */
    record Rejected(LocalResponse response, long retryAfterMs) implements Result {}

    private final EdgeContext edge;

    RequestAdmission(EdgeContext edge) {
        this.edge = edge;
    }

    /** Admits or rejects a request; quota is acquired only for an admitted one. */
    Result admit(ClientRequest request) {
        FleetConfig config = edge.fleetState().config();
        if (config == null || edge.shutdown().isLingerOver(edge.nowMs())) {
            return new Rejected(
                    LocalResponse.NO_SERVER_AVAILABLE,
                    LocalResponse.NO_SERVER_AVAILABLE.retryAfterMs());
        }
        Optional<Route> route = config.findRoute(host(request.headers()), request.path());
        if (route.isEmpty()) {
            return new Rejected(LocalResponse.NO_ROUTE, 0);
        }
        long clientTimeoutMs =
                Headers.deadlineMs(request.headers()).orElse(route.get().timeoutMs());
        if (config.tenants().isEmpty() || route.get().anonymous()) {
            return new Admitted(route.get(), QuotaReservation.NONE, clientTimeoutMs);
        }
        Optional<Tenant> tenant = apiKey(request.headers()).flatMap(config::tenantByApiKey);
        if (tenant.isEmpty()) {
            return new Rejected(LocalResponse.UNKNOWN_API_KEY, 0);
        }
        long amount = quotaAmount(request.headers(), tenant.get());
        long waitMs = edge.fleetState().quotas().acquire(edge.nowMs(), tenant.get(), amount);
        if (waitMs > 0) {
            logOverQuota(tenant.get(), amount, waitMs);
            return new Rejected(LocalResponse.OVER_QUOTA, waitMs);
        }
        return new Admitted(route.get(), new QuotaReservation(tenant, amount), clientTimeoutMs);
    }

    private void logOverQuota(Tenant tenant, long amount, long waitMs) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "Request rejected, over quota: amount={}, retryAfterMs={}, {}",
                    amount,
                    waitMs,
                    edge.fleetState().quotas().describe(tenant));
        }
    }

    /** The host of a request in lower case, without a port. */
    private static String host(HttpHeaders headers) {
        String host = headers.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static Optional<String> apiKey(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        return value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())
                ? Optional.of(value.substring(BEARER_PREFIX.length()).trim())
                : Optional.empty();
    }

    /** The quota that a request consumes, in the tenant's unit. */
    private static long quotaAmount(HttpHeaders headers, Tenant tenant) {
        if (!tenant.countsTokens()) {
            return 1;
        }
        return Headers.tokenCount(headers)
                .map(tokens -> (long) tokens.promptTokens() + tokens.maxOutputTokens())
                .orElse((long) tenant.defaultRequestTokens());
    }
}
