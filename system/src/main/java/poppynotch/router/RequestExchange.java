package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.Route;
import poppynotch.pool.AcquireResult;
import poppynotch.pool.RequestProfile;
import poppynotch.pool.ServerPool;
import poppynotch.pool.Slot;
import poppynotch.pool.SlotOutcome;
import poppynotch.pool.VersionChoice;

/**
 * Handles one client request from its arrival to the end of its response: runs {@link Attempt}s one
 * at a time and decides after each whether to retry or what to respond to the client.
 *
 * <p>Two invariants hold. A request that may have been executed is retried only if it is
 * idempotent. A response that guarantees that the request was not executed is sent only if this is
 * certain.
 *
 * <p>Created by a {@link ClientConnection} and used on the edge's event loop only. The exchange
 * owns the body of the client's request and releases it at the end; each attempt retains the body
 * separately.
 */
final class RequestExchange {

    private static final Logger LOG = LoggerFactory.getLogger(RequestExchange.class);

    /** Delay of the timeout, so that a response that the server sends at the deadline arrives. */
    private static final long DEADLINE_SLACK_MS = 40;

    private final EdgeContext edge;
    private final ClientRequest request;
    private final ClientResponseWriter client;
    private final Route route;
    private final QuotaReservation quota;
    private final String backend;
    private final RequestProfile profile;
    private final UpstreamRequestFactory upstreamRequests;
    private final RetryPolicy retryPolicy;
    private final ClientEventStream stream;
    private final Set<String> triedServerIds = new HashSet<>();
    private final Future<?> deadlineTimer;

    /** The attempt in flight; null between attempts and after the last one. */
    private Attempt attempt;

    /** Whether the server of any attempt so far may have executed the request. */
    private boolean mayHaveExecuted;

    private boolean ended;

    /**
     * Creates an exchange and starts its deadline timer.
     *
     * @param request its body is released when the exchange ends
     * @param quota the quota acquired for the request, refunded if it was certainly not executed
     * @param clientTimeoutMs how long the client waits, counted from the arrival of the request
     */
    RequestExchange(
            EdgeContext edge,
            ClientRequest request,
            ClientResponseWriter client,
            Route route,
            QuotaReservation quota,
            long clientTimeoutMs) {
        this.edge = edge;
        this.request = request;
        this.client = client;
        this.route = route;
        this.quota = quota;
        backend = edge.fleetState().selectBackend(route);
        profile = Headers.profile(request.headers());
        stream = new ClientEventStream(client);
        long deadlineMs = request.arrivedMs() + Math.min(clientTimeoutMs, route.timeoutMs());
        upstreamRequests = new UpstreamRequestFactory(request, route, quota.tenant(), deadlineMs);
        retryPolicy = new RetryPolicy(edge.fleetState(), route, backend, deadlineMs);
        deadlineTimer =
                edge.loop()
                        .schedule(
                                this::onDeadline,
                                Math.max(0, deadlineMs - edge.nowMs()) + DEADLINE_SLACK_MS,
                                TimeUnit.MILLISECONDS);
    }

    /** Starts the first attempt. */
    void start() {
        edge.activeExchanges().add(this);
        retryPolicy.onRequestStarted();
        startAttempt();
    }

    private void startAttempt() {
        long nowMs = edge.nowMs();
        ServerPool pool = edge.fleetState().pool(backend);
        if (pool != null) {
            for (VersionChoice versions : versionChoices(nowMs)) {
                if (acquire(nowMs, pool, versions) instanceof AcquireResult.Granted granted) {
                    edge.fleetState().versions().onAttempt(versions);
                    startAttempt(new Attempt.Target(pool, granted.slot(), nowMs));
                    return;
                }
            }
        }
        respondWithoutServer();
    }

    private List<VersionChoice> versionChoices(long nowMs) {
        return edge.fleetState().versions().choices(nowMs, backend, triedServerIds.isEmpty());
    }

    private AcquireResult acquire(long nowMs, ServerPool pool, VersionChoice versions) {
        return pool.acquire(
                nowMs,
                profile,
                triedServerIds,
                edge.upstreamConnections()::hasIdleConnection,
                versions);
    }

    private void startAttempt(Attempt.Target target) {
        Slot slot = target.slot();
        attempt = new Attempt(edge, request, route, target, stream, this::onAttemptEnded);
        triedServerIds.add(slot.serverId());
        retryPolicy.onAttemptStarted();
        edge.fleetNotifier().publishPrompt(backend, slot);
        attempt.start(upstreamRequests.create(slot, target.acquiredMs(), stream.lastEventId()));
    }

    // ---- Cancellation and flow control ----

    private void onDeadline() {
        if (ended) {
            return;
        }
        cancelAttempt(SlotOutcome.CANCELLED);
        if (stream.isStarted()) {
            abortStream();
        } else {
            respondLocally(LocalResponse.TIMED_OUT);
        }
    }

    /** Cancels the attempt in flight, as the client closed its connection. */
    void onClientDisconnected() {
        if (!ended) {
            cancelAttempt(SlotOutcome.CANCELLED);
            end();
        }
    }

    /** Resumes or pauses reading the response when the client's connection changes writability. */
    void onClientWritabilityChanged(boolean writable) {
        if (attempt != null) {
            attempt.setReading(writable);
        }
    }

    /**
     * Checks whether the server of the attempt in flight has sent no data for too long, and retries
     * on another server if the request may be retried. Called periodically.
     */
    void checkServerInactivity(long nowMs) {
        if (attempt == null || !edge.fleetState().runsModel(backend)) {
            return;
        }
        if (attempt.checkInactivity(nowMs) && retryPolicy.tryRetryExecuted(edge.nowMs())) {
            LOG.info("Attempt timed out: server={}, route={}", attempt.serverId(), route.name());
            cancelAttempt(SlotOutcome.TIMED_OUT);
            startAttempt();
        }
    }

    private void cancelAttempt(SlotOutcome slotOutcome) {
        if (attempt != null) {
            mayHaveExecuted |= attempt.cancel(slotOutcome);
            attempt = null;
        }
    }

    // ---- Outcome of an attempt ----

    private void onAttemptEnded(AttemptOutcome outcome) {
        attempt = null;
        if (outcome instanceof AttemptOutcome.NotSent) {
            onNotSent();
        } else if (outcome instanceof AttemptOutcome.Rejected) {
            retryNotExecuted();
        } else if (outcome instanceof AttemptOutcome.Misdirected misdirected) {
            edge.fleetNotifier().onMisdirected(misdirected.serverId());
            retryPolicy.onServerUnreachable();
            retryNotExecuted();
        } else if (outcome instanceof AttemptOutcome.Failed failed) {
            mayHaveExecuted |= failed.mayHaveExecuted();
            onFailed();
        } else if (outcome instanceof AttemptOutcome.Completed completed) {
            mayHaveExecuted = true;
            onCompleted(completed.head(), completed.body());
        } else if (outcome instanceof AttemptOutcome.StreamCompleted) {
            end();
            client.writeEnd();
        }
    }

    private void onNotSent() {
        retryPolicy.onServerUnreachable();
        if (retryPolicy.mayReplaceUnsentAttempt(edge.nowMs())) {
            startAttempt();
        } else {
            respondWithoutServer();
        }
    }

    private void retryNotExecuted() {
        if (retryPolicy.tryRetryNotExecuted(edge.nowMs())) {
            startAttempt();
        } else {
            respondWithoutServer();
        }
    }

    private void onFailed() {
        if (retryPolicy.tryRetryExecuted(edge.nowMs())) {
            startAttempt();
        } else if (stream.isStarted()) {
            abortStream();
        } else if (mayHaveExecuted) {
            respondLocally(LocalResponse.SERVER_FAILED);
        } else {
            respondLocally(LocalResponse.NO_SERVER_AVAILABLE);
        }
    }

    /** Handles a complete response: passes its body to the client, or releases it. */
    private void onCompleted(HttpResponse head, ByteBuf body) {
        boolean serverError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (serverError && !stream.isStarted() && retryPolicy.tryRetryExecuted(edge.nowMs())) {
            body.release();
            startAttempt();
        } else if (stream.isStarted()) {
            // The server responded with an error instead of resuming the stream.
            body.release();
            abortStream();
        } else if (promisesNotExecuted(head.status()) && !route.isIdempotent()) {
            body.release();
            respondLocally(LocalResponse.SERVER_FAILED);
        } else {
            end();
            client.writeComplete(head.status(), Headers.endToEnd(head.headers()), body);
        }
    }

    /**
     * Whether clients interpret a status as a guarantee that the request was not executed. A server
     * that gives this guarantee sets the header {@link Headers#NOT_EXECUTED}, which is handled
     * before this check: such a status without the header may have been sent after execution.
     */
    private static boolean promisesNotExecuted(HttpResponseStatus status) {
        int code = status.code();
        return code == HttpResponseStatus.REQUEST_TIMEOUT.code()
                || code == HttpResponseStatus.MISDIRECTED_REQUEST.code()
                || code == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                || code == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    }

    // ---- End of the exchange ----

    /** Responds to a request that no server can accept. */
    private void respondWithoutServer() {
        if (stream.isStarted()) {
            abortStream();
        } else if (mayHaveExecuted && !route.isIdempotent()) {
            respondLocally(LocalResponse.SERVER_FAILED);
        } else {
            respondLocally(LocalResponse.NO_SERVER_AVAILABLE);
        }
    }

    private void respondLocally(LocalResponse response) {
        LOG.debug(
                "Request answered by the edge: attemptId={}, route={}, response={}",
                request.headers().get(Headers.ATTEMPT_ID),
                route.name(),
                response);
        if (!mayHaveExecuted) {
            quota.refund(edge.nowMs(), edge.fleetState().quotas());
        }
        end();
        client.writeLocal(response, response.retryAfterMs());
    }

    private void abortStream() {
        end();
        client.abort();
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel(false);
        edge.activeExchanges().remove(this);
        request.body().release();
    }
}
