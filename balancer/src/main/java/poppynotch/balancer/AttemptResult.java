package poppynotch.balancer;

/** The end of one attempt; {@code concluded} when the client has had its final answer. */
public record AttemptResult(
        String request,
        int attempt,
        String server,
        AttemptOutcome outcome,
        double tookMs,
        boolean concluded,
        LoadReport load) {
    public AttemptResult {
        Checks.given("finished.request", request);
        Checks.given("finished.outcome", outcome);
        Checks.notNegative("finished.attempt", attempt);
        Checks.notNegative("finished.took", tookMs);
        Checks.finite("finished.took", tookMs);
    }
}
