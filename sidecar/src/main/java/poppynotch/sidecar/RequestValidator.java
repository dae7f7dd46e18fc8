package poppynotch.sidecar;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.RequestClass;
import poppynotch.transport.HeadText;

/**
 * Checks a client's request against the settings: its method, its headers, and whether it matches
 * its class. It is owned by {@link RequestDispatcher} and called on the sidecar's event loop only;
 * it holds no buffers.
 */
final class RequestValidator {

    /** A deadline with more digits is rejected. */
    private static final int MAX_DEADLINE_DIGITS = 9;

    private static final Integer ONLY_TENANT = 0;

    /** The result of a validation. */
    sealed interface Result permits Valid, Invalid {}

    /**
     * A request that may be handed to the balancer.
     *
     * @param classNumber the position of its class in the settings
     * @param tenantNumber the position of its tenant in the settings, or 0 if they have no tenants
     * @param budgetMs how long the client waits for the response
     * @param isRetry whether the client has sent the request before, by its header
     */
    record Valid(String id, int classNumber, int tenantNumber, long budgetMs, boolean isRetry)
            implements Result {}

    /** A request that gets an error response. */
    record Invalid(HttpResponseStatus status, String reason) implements Result {}

    private List<RequestClass> requestClasses;
    private final Map<String, Integer> classNumbers = new HashMap<>();
    private final Map<String, Integer> tenantNumbers = new HashMap<>();

    RequestValidator(BalancerSettings settings) {
        applySettings(settings);
    }

    /** Replaces the classes and tenants that requests may name. */
    void applySettings(BalancerSettings settings) {
        requestClasses = settings.classes();
        classNumbers.clear();
        requestClasses.forEach(
                requestClass -> classNumbers.put(requestClass.name(), classNumbers.size()));
        tenantNumbers.clear();
        settings.tenants()
                .forEach(tenant -> tenantNumbers.put(tenant.name(), tenantNumbers.size()));
    }

    /** Checks a request; the first error found determines the response. */
    Result validate(HttpRequest request, boolean hasBody) {
        HttpHeaders headers = request.headers();
        String id = headers.get(RequestHeaders.REQUEST_ID);
        Integer classNumber = classNumbers.get(name(headers, RequestHeaders.REQUEST_CLASS));
        Integer tenantNumber =
                tenantNumbers.isEmpty()
                        ? ONLY_TENANT
                        : tenantNumbers.get(name(headers, RequestHeaders.TENANT));
        long budgetMs = parseDeadlineMs(headers.get(RequestHeaders.DEADLINE_MS, ""));
        if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.POST)) {
            return new Invalid(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET and POST are served");
        }
        if (id == null || id.isEmpty() || headers.getAll(RequestHeaders.REQUEST_ID).size() > 1) {
            return badRequest(RequestHeaders.REQUEST_ID + " is missing or there twice");
        }
        if (classNumber == null) {
            return badRequest(RequestHeaders.REQUEST_CLASS + " is missing or unknown");
        }
        if (tenantNumber == null) {
            return badRequest(RequestHeaders.TENANT + " is missing or unknown");
        }
        if (budgetMs < 0) {
            return badRequest(RequestHeaders.DEADLINE_MS + " is no whole number");
        }
        if (!matchesClass(requestClasses.get(classNumber), request, hasBody)) {
            return badRequest("not the form of its class");
        }
        return new Valid(
                id,
                classNumber,
                tenantNumber,
                budgetMs,
                "1".equals(headers.get(RequestHeaders.RETRY)));
    }

    /** The name in a header, empty if there is none; settings have it as Unicode text. */
    private static String name(HttpHeaders headers, String header) {
        return HeadText.decode(headers.get(header, ""));
    }

    private static Invalid badRequest(String reason) {
        return new Invalid(HttpResponseStatus.BAD_REQUEST, reason);
    }

    /**
     * Whether a request matches its class: a repeatable request is a GET without a body, all others
     * are a POST, and one that is idempotent by a key has that key.
     */
    private static boolean matchesClass(
            RequestClass requestClass, HttpRequest request, boolean hasBody) {
        if (requestClass.idempotency() == Idempotency.REPEATABLE) {
            return request.method().equals(HttpMethod.GET) && !hasBody;
        }
        return request.method().equals(HttpMethod.POST)
                && (requestClass.idempotency() != Idempotency.BY_KEY
                        || !request.headers().get(RequestHeaders.IDEMPOTENCY_KEY, "").isEmpty());
    }

    /** Returns the milliseconds, or -1 if the text is not a whole number or too long. */
    private static long parseDeadlineMs(String text) {
        if (text.isEmpty()
                || text.length() > MAX_DEADLINE_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(text);
    }
}
