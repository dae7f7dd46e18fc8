package poppynotch.balancer;

/**
 * A class of requests.
 *
 * @param latencyTargetMs the latency target: a response within it has the full value
 * @param deadlineMs the longest time that a client waits
 * @param value the value of a response within the latency target
 * @param lateValue the value of a later response
 * @param idempotency whether a request that may have run may be sent again
 * @param deduplicationScope the servers that drop repeats of a keyed request
 * @param deduplicationWindowMs how long these servers drop repeats
 * @param streamed whether responses are streamed
 */
public record RequestClass(
        String name,
        double latencyTargetMs,
        double deadlineMs,
        double value,
        double lateValue,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        boolean streamed) {
    public RequestClass {
        Checks.positive("classes[].aim", latencyTargetMs);
        Checks.finite("classes[].aim", latencyTargetMs);
        Checks.positive("classes[].deadline", deadlineMs);
        Checks.finite("classes[].deadline", deadlineMs);
        Checks.notNegative("classes[].worth", value);
        Checks.finite("classes[].worth", value);
        Checks.notNegative("classes[].lateWorth", lateValue);
        Checks.notNull("classes[].effect", idempotency);
        Checks.notNull("classes[].group", deduplicationScope);
        if (idempotency == Idempotency.BY_KEY) {
            Checks.positive("classes[].window", deduplicationWindowMs);
        }
    }

    /**
     * How long after the first attempt that may have run a keyed request may be sent again, in ms:
     * a tenth of the window is left for network delay and clock differences.
     */
    public double repeatableForMs() {
        return deduplicationWindowMs * 0.9;
    }
}
