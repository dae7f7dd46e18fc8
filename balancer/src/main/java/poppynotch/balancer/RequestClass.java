package poppynotch.balancer;

/**
 * A class of requests: its time wanted, its time limit, its worth and whether it may be repeated.
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
     * again: a tenth of the window is left for its way, and for clocks.
     */
    public double repeatableForMs() {
        return windowMs * 0.9;
    }
}
