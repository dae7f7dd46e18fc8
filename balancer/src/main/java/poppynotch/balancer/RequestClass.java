package poppynotch.balancer;

/**
 * A class of requests.
 *
 * @param latencyTargetMs the latency target: an answer within it earns the full value
 * @param deadlineMs the client waits no longer than this
 * @param value the value of an answer within the latency target
 * @param lateValue the value of a later answer
 * @param idempotency whether it may be sent again
 * @param deduplicationScope the servers that drop repeats of a keyed request
 * @param deduplicationWindowMs for how long they do
 * @param streamed whether answers are streamed
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
        Checks.given("classes[].effect", idempotency);
        Checks.given("classes[].group", deduplicationScope);
        if (idempotency == Idempotency.BY_KEY) {
            Checks.positive("classes[].window", deduplicationWindowMs);
        }
    }

    /**
     * For so long after the first attempt that may have run, in ms, a keyed request may be sent
     * again: a tenth of the window is left for the network, and for differences of clocks.
     */
    public double repeatableForMs() {
        return deduplicationWindowMs * 0.9;
    }
}
