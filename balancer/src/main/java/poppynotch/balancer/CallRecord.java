package poppynotch.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival until it is answered and its last attempt has ended. It keeps the
 * class and the number of attempts of the settings under which it came. Held by {@link CallTable}.
 */
final class CallRecord {

    /**
     * Where a late answer earns nothing, a call ends at this fraction of its latency target: an
     * answer that arrives a little after it costs work for nothing.
     */
    static final double USEFUL_TARGET_FRACTION = 0.99;

    final Request request;
    final RequestClass requestClass;

    /** The latency estimates of its class. */
    final ClassLatencyEstimator latency;

    final int maxAttempts;
    final List<Attempt> attempts = new ArrayList<>(2);

    /** When an answer stops being worth waiting for. */
    final double usefulUntilMs;

    /** The client has had its final answer, or is gone. */
    boolean answered;

    int attemptsInFlight;

    /** It was within its tenant's quota when it came. */
    boolean withinQuota;

    /**
     * It is of the fraction that goes to a version that is being rolled out; its retries go
     * elsewhere.
     */
    boolean staged;

    /** The first attempt that may have run: its server's group and its time bind later ones. */
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
        return answered && attemptsInFlight == 0;
    }

    boolean hasTried(TrackedServer server) {
        return attempts.stream().anyMatch(attempt -> attempt.slot.server == server);
    }

    /** Records the end of an attempt. */
    void endAttempt(Attempt attempt, AttemptOutcome outcome) {
        attempt.end(outcome);
        attemptsInFlight--;
        if (!outcome.neverRan() && firstPossibleRun == null) {
            firstPossibleRun = attempt;
        }
    }

    /**
     * Whether a repeat at this server cannot have an effect twice: only the group of servers that
     * remembers a keyed call's first run drops its repeat.
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

    /** Whether it is true for the client that sending the request again can do no harm. */
    boolean isSafeToResend() {
        return (firstPossibleRun == null && attemptsInFlight == 0)
                || requestClass.idempotency() == Idempotency.REPEATABLE
                || (requestClass.idempotency() == Idempotency.BY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }
}
