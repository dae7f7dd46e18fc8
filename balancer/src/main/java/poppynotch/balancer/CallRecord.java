package poppynotch.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival until it is concluded and its last attempt has ended. It keeps the
 * class and the maximum attempts of the settings under which it arrived. Held by {@link CallTable}.
 */
final class CallRecord {

    /**
     * If late responses have no value, a call times out at this fraction of its latency target: a
     * response just after the target would be wasted work.
     */
    static final double USEFUL_TARGET_FRACTION = 0.99;

    final Request request;
    final RequestClass requestClass;

    /** The latency estimates of its class. */
    final ClassLatencyEstimator latency;

    final int maxAttempts;
    final List<Attempt> attempts = new ArrayList<>(2);

    /** The time from which a response has no value. */
    final double usefulUntilMs;

    /** The client has received its final response, or has disconnected. */
    boolean concluded;

    int attemptsInFlight;

    /** The request was within its tenant's quota on arrival. */
    boolean withinQuota;

    /**
     * Its first attempt prefers servers with the version that is being rolled out, its retries
     * others.
     */
    boolean staged;

    /** The first attempt that may have run; its server and its start time restrict retries. */
    Attempt firstPossibleRun;

    CallRecord(
            double nowMs,
            Request request,
            RequestClass requestClass,
            ClassLatencyEstimator latency,
            int maxAttempts) {
        this.request = request;
        this.requestClass = requestClass;
        this.latency = latency;
        this.maxAttempts = maxAttempts;
        usefulUntilMs =
                requestClass.lateValue() > 0
                        ? request.deadlineMs()
                        : Math.min(
                                request.deadlineMs(),
                                nowMs + requestClass.latencyTargetMs() * USEFUL_TARGET_FRACTION);
    }

    boolean isFinished() {
        return concluded && attemptsInFlight == 0;
    }

    boolean hasTried(TrackedServer server) {
        return attempts.stream().anyMatch(attempt -> attempt.slot.server == server);
    }

    void endAttempt(Attempt attempt, AttemptOutcome outcome) {
        attempt.end(outcome);
        attemptsInFlight--;
        if (!outcome.neverRan() && firstPossibleRun == null) {
            firstPossibleRun = attempt;
        }
    }

    /**
     * Whether a retry at this server cannot take effect twice: the retry of a keyed call is dropped
     * only by servers in the deduplication scope of its first run.
     */
    boolean mayRepeatAt(TrackedServer server) {
        if (firstPossibleRun == null
                || requestClass.idempotency() != Idempotency.BY_KEY
                || requestClass.deduplicationScope() == DeduplicationScope.ALL) {
            return true;
        }
        Server first = firstPossibleRun.slot.server.entry;
        return requestClass.deduplicationScope() == DeduplicationScope.ZONE
                ? first.zone() == server.entry.zone()
                : first.cell() == server.entry.cell();
    }

    /** Whether the client can safely send the request again. */
    boolean isSafeToResend() {
        return (firstPossibleRun == null && attemptsInFlight == 0)
                || requestClass.idempotency() == Idempotency.REPEATABLE
                || (requestClass.idempotency() == Idempotency.BY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }
}
