package poppynotch.sidecar;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.Request;
import poppynotch.balancer.RequestClass;

/**
 * A client's request, from its arrival until it is concluded and its last attempt has ended. It is
 * concluded once it has its final response, or its client has disconnected. It is owned by {@link
 * Exchange}, which changes it on the sidecar's event loop only. All times are on the sidecar's
 * clock.
 */
final class OpenRequest {

    final Request request;

    /** Its class in the settings that applied when it arrived. */
    final RequestClass requestClass;

    final ForwardedRequest forwarded;
    final ResponseHandler responseHandler;

    /** The limit on its attempts in the settings that applied when it arrived. */
    final int maxAttempts;

    final List<RequestAttempt> attempts = new ArrayList<>(2);

    /** Fires after the deadline, for a request that is not concluded by then. */
    Future<?> overdueTimer;

    /** The number of attempts whose end the balancer has not been notified of yet. */
    int attemptsInFlight;

    private final double receivedMs;

    /** How long the client waits for the response, counted from the request's last byte. */
    private final double budgetMs;

    private boolean concluded;

    /** How and when it was concluded, for the log. */
    private String conclusion;

    private double concludedMs;

    OpenRequest(
            Request request,
            RequestClass requestClass,
            ForwardedRequest forwarded,
            ResponseHandler responseHandler,
            double receivedMs,
            int maxAttempts) {
        this.request = request;
        this.requestClass = requestClass;
        this.forwarded = forwarded;
        this.responseHandler = responseHandler;
        this.receivedMs = receivedMs;
        this.maxAttempts = maxAttempts;
        budgetMs = request.deadlineMs() - receivedMs;
    }

    String id() {
        return request.id();
    }

    /** Whether it has its final response, or its client has disconnected. */
    boolean isConcluded() {
        return concluded;
    }

    /** Marks it as concluded; {@code how} is for the log. */
    void conclude(String how, double nowMs) {
        concluded = true;
        conclusion = how;
        concludedMs = nowMs;
        overdueTimer.cancel(false);
    }

    /** Adds an attempt that counts as in flight. */
    RequestAttempt addAttempt(String server, double nowMs) {
        RequestAttempt attempt = new RequestAttempt(attempts.size(), server, nowMs);
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    /**
     * When its response is due: the time counts from the last byte, which may not have arrived yet.
     */
    double dueMs(double nowMs) {
        RelayedBody upload = forwarded.upload();
        if (upload == null) {
            return request.deadlineMs();
        }
        return (upload.isComplete() ? upload.lastProgressMs() : nowMs) + budgetMs;
    }

    /**
     * When its last byte may be written at the latest: a request with an idempotency key that may
     * have run is sent again only while endpoints remember the key.
     */
    double latestWriteMs() {
        if (requestClass.idempotency() != Idempotency.BY_KEY) {
            return Double.POSITIVE_INFINITY;
        }
        for (RequestAttempt attempt : attempts) {
            if (attempt.finished && !attempt.outcome.neverRan()) {
                return attempt.sentMs + requestClass.repeatableForMs();
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** When data of its body was last received or passed on; 0 for a small body. */
    double lastProgressMs() {
        return forwarded.upload() == null ? 0 : forwarded.upload().lastProgressMs();
    }

    /** Returns one line for the log with the outcome of the request and of each attempt. */
    String logLine() {
        StringBuilder line =
                new StringBuilder("Request concluded: requestId=")
                        .append(request.id())
                        .append(", conclusion=")
                        .append(conclusion)
                        .append(", elapsedMs=")
                        .append(Math.round(concludedMs - receivedMs));
        for (RequestAttempt attempt : attempts) {
            line.append("; server=")
                    .append(attempt.server)
                    .append(", outcome=")
                    .append(attempt.outcome)
                    .append(", sentAfterMs=")
                    .append(Math.round(attempt.sentMs - receivedMs))
                    .append(", elapsedMs=")
                    .append(Math.round(attempt.elapsedMs));
        }
        return line.toString();
    }
}
