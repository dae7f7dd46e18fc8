package poppynotch.balancer;

/**
 * The end of one attempt.
 *
 * @param attempt the number of the attempt, from 0
 * @param tookMs the time from its start to its end, or to the begin of a streamed answer
 * @param concluded whether the client has had its final answer
 */
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
