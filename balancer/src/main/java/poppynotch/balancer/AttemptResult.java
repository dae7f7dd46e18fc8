package poppynotch.balancer;

/**
 * The result of one attempt.
 *
 * @param attempt index of the attempt among those of its request, from 0
 * @param tookMs the time from its start to its end, or to the start of a streamed response
 * @param concluded whether the client has received its final response
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
        Checks.notNull("finished.request", request);
        Checks.notNull("finished.outcome", outcome);
        Checks.notNegative("finished.attempt", attempt);
        Checks.notNegative("finished.took", tookMs);
        Checks.finite("finished.took", tookMs);
    }
}
