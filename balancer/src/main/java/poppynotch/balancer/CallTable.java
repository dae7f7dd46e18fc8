package poppynotch.balancer;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The calls that are not answered yet, or of which an attempt is still in flight. Gives the final
 * answer to those that cannot be served.
 */
final class CallTable {

    /** The cool-down of a rejected call, as a fraction of the longest that the site permits. */
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

    /** The call of that request, or null. */
    CallRecord get(String request) {
        return calls.get(request);
    }

    boolean contains(String request) {
        return calls.containsKey(request);
    }

    int size() {
        return calls.size();
    }

    /** All calls, in the order in which they came. */
    Collection<CallRecord> all() {
        return calls.values();
    }

    /**
     * Gives a call that cannot be served its final answer: it is rejected where that is true, else
     * it fails.
     */
    void answerUnserved(CallRecord call) {
        call.answered = true;
        if (call.isSafeToResend()) {
            // The cool-down is given also where few clients are said to heed it: it costs nothing.
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
