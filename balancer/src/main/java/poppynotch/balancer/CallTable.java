package poppynotch.balancer;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The calls without a final response or with an attempt still in flight. Rejects or fails those
 * that cannot be served.
 */
final class CallTable {

    /** The cool-down of a rejected call, as a fraction of the longest that the settings permit. */
    private static final double COOL_DOWN_FRACTION = 1.0 / 4;

    private final CurrentSettings settings;
    private final BalancerActions host;
    private final Map<String, CallRecord> calls = new LinkedHashMap<>();

    CallTable(CurrentSettings settings, BalancerActions host) {
        this.settings = settings;
        this.host = host;
    }

    void add(CallRecord call) {
        calls.put(call.request.id(), call);
    }

    /** The call of a request, or null. */
    CallRecord get(String request) {
        return calls.get(request);
    }

    boolean contains(String request) {
        return calls.containsKey(request);
    }

    int size() {
        return calls.size();
    }

    /** All calls, in order of arrival. */
    Collection<CallRecord> all() {
        return calls.values();
    }

    /**
     * Concludes a call that cannot be served: rejects it if it is safe to resend, else fails it.
     */
    void rejectOrFail(CallRecord call) {
        call.concluded = true;
        if (call.isSafeToResend()) {
            // Few clients may respect the cool-down, but it costs nothing to send.
            host.reject(
                    call.request.id(),
                    settings.get().limits().maxRetryAfterMs() * COOL_DOWN_FRACTION);
        } else {
            host.fail(call.request.id());
        }
        removeIfFinished(call);
    }

    void removeIfFinished(CallRecord call) {
        if (call.isFinished()) {
            calls.remove(call.request.id());
        }
    }
}
