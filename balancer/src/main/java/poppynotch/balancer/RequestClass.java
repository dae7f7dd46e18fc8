package poppynotch.balancer;

/**
 * A class of requests.
 *
 * @param aimMs the latency target: an answer within it earns the full value
 * @param deadlineMs the client waits no longer than this
 * @param worth the value of an answer within the latency target
 * @param lateWorth the value of a later answer
 * @param effect whether it may be sent again
 * @param group the servers that drop repeats of a keyed request
 * @param windowMs for how long they do
 * @param stream whether answers are streamed
 */
public record RequestClass(
        String name,
        double aimMs,
        double deadlineMs,
        double worth,
        double lateWorth,
        Idempotency effect,
        DeduplicationScope group,
        double windowMs,
        boolean stream) {
    public RequestClass {
        Checks.positive("classes[].aim", aimMs);
        Checks.finite("classes[].aim", aimMs);
        Checks.positive("classes[].deadline", deadlineMs);
        Checks.finite("classes[].deadline", deadlineMs);
        Checks.notNegative("classes[].worth", worth);
        Checks.finite("classes[].worth", worth);
        Checks.notNegative("classes[].lateWorth", lateWorth);
        Checks.given("classes[].effect", effect);
        Checks.given("classes[].group", group);
        if (effect == Idempotency.BY_KEY) {
            Checks.positive("classes[].window", windowMs);
        }
    }

    /**
     * For so long after the first attempt that may have run, in ms, a keyed request may be sent
     * again: a tenth of the window is left for the network, and for differences of clocks.
     */
    public double repeatableForMs() {
        return windowMs * 0.9;
    }
}
