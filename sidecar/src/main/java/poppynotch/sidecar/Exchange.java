package poppynotch.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.Map;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.AttemptResult;
import poppynotch.balancer.BalancerActions;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.FleetAdvice;
import poppynotch.balancer.LoadBalancer;
import poppynotch.balancer.LoadReport;
import poppynotch.balancer.Request;
import poppynotch.balancer.ServerListKind;

/**
 * Connects the balancer to the network, and holds the open requests and their attempts. It carries
 * out the balancer's decisions, reports their results to it, and ensures that each request gets
 * exactly one final response.
 *
 * <p>It is owned by {@link Sidecar} and called on the sidecar's event loop only. It holds no
 * buffers: bodies that it passes on are released by the channel that they are written to.
 */
final class Exchange implements BalancerActions {

    /** How long after its deadline a request is failed if it is still not concluded. */
    private static final double OVERDUE_GRACE_MS = 5;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RateLimitedLog log;
    private final EndpointPool endpointPool;
    private final StreamWatchdog streamWatchdog;

    /** Starts watching discovery. */
    private final Runnable startDiscoveryWatch;

    private BalancerSettings settings;
    private final LoadBalancer balancer;
    private final Map<String, OpenRequest> openRequestsById = new HashMap<>();
    private final BalancerEventQueue events = new BalancerEventQueue(this::deliver);

    /** Whether a list has named an endpoint yet. */
    private boolean knowsEndpoints;

    /** Null if this process is in no fleet. */
    private OutcomeListener outcomeListener;

    /**
     * Creates an exchange with the endpoints of the configuration.
     *
     * @param startDiscoveryWatch starts watching discovery; called by this constructor if the
     *     configuration names no endpoint or lists are pushed
     */
    Exchange(
            EventLoop loop,
            MonotonicClock clock,
            RateLimitedLog log,
            EndpointPool endpointPool,
            Runnable startDiscoveryWatch,
            SidecarConfig config) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.endpointPool = endpointPool;
        this.startDiscoveryWatch = startDiscoveryWatch;
        streamWatchdog = new StreamWatchdog(loop, clock);
        settings = config.settings();
        balancer = new LoadBalancer(settings, config.seed(), this);
        applyServerList(ServerListKind.CACHED, config.knownEndpoints());
        // Nothing can be served without an endpoint, so the watch starts now and not only when the
        // balancer subscribes.
        if (!settings.mustRequestList() || !knowsEndpoints) {
            startDiscoveryWatch.run();
        }
    }

    // ---- settings, server lists, fleet advice and maintenance ----

    /** Sets the listener that reports requests and outcomes to the fleet. */
    void setOutcomeListener(OutcomeListener listener) {
        outcomeListener = listener;
    }

    /** Passes the fleet's advice to the balancer, valid for the given time from now on. */
    void applyFleetAdvice(double validForMs, FleetAdvice advice) {
        events.add(null, now -> balancer.onFleetAdvice(now, advice.validUntil(now + validForMs)));
    }

    BalancerSettings settings() {
        return settings;
    }

    /** Replaces the settings; open requests keep those that applied when they arrived. */
    void applySettings(BalancerSettings changed) {
        settings = changed;
        events.add(null, now -> balancer.onSettings(now, changed));
    }

    /** Whether a list has named an endpoint yet. */
    boolean knowsEndpoints() {
        return knowsEndpoints;
    }

    /** Whether a list has ever named this endpoint. */
    boolean wasListed(String endpoint) {
        return balancer.wasListed(endpoint);
    }

    /** Takes an endpoint out of service or puts it back; in effect when this returns. */
    void setMaintenance(String endpoint, boolean out) {
        endpointPool.setBlocked(endpoint, out);
        events.add(null, now -> balancer.onMaintenance(now, endpoint, out));
    }

    /** Applies a full list of endpoints, or the changed entries of one, from discovery. */
    void onServerList(ServerList list) {
        applyServerList(list.full() ? ServerListKind.FULL : ServerListKind.DELTA, list);
    }

    private void applyServerList(ServerListKind kind, ServerList list) {
        knowsEndpoints |= !list.entries().isEmpty();
        endpointPool.update(list);
        if (outcomeListener != null) {
            outcomeListener.onServerList(kind != ServerListKind.DELTA, list.servers());
        }
        events.add(null, now -> balancer.onServerList(now, kind, list.servers()));
    }

    // ---- requests ----

    int openRequestCount() {
        return openRequestsById.size();
    }

    /** Whether a request of this id is open. */
    boolean isOpen(String id) {
        return openRequestsById.containsKey(id);
    }

    /** Handles a client's request; the handler gets its final response, possibly in this call. */
    void onRequest(Request request, ForwardedRequest forwarded, ResponseHandler responseHandler) {
        OpenRequest open =
                new OpenRequest(
                        request,
                        settings.classes().get(request.requestClass()),
                        forwarded,
                        responseHandler,
                        clock.nowMs(),
                        settings.limits().maxAttempts());
        openRequestsById.put(request.id(), open);
        if (outcomeListener != null) {
            outcomeListener.onRequest(request.tenant());
        }
        scheduleOverdueCheck(open, request.deadlineMs() - clock.nowMs());
        events.add(open, now -> balancer.onRequest(now, request));
    }

    /** Handles the end of a client's connection before its response was complete. */
    void onClientGone(String id) {
        OpenRequest open = openRequestsById.get(id);
        if (open != null && !open.isConcluded()) {
            open.conclude("client disconnected", clock.nowMs());
            // A request that is not written completely has not run and must not, even where the
            // settings do not allow attempts to be cancelled.
            open.attempts.stream()
                    .filter(attempt -> !attempt.finished && !attempt.endpointAttempt.isWritten())
                    .forEach(attempt -> abandonAttempt(open, attempt, AttemptOutcome.CANCELED));
            events.add(open, now -> balancer.onClientGone(now, id));
        } else if (open != null) {
            open.attempts.stream()
                    .filter(attempt -> attempt.streaming)
                    .forEach(attempt -> abandonAttempt(open, attempt, AttemptOutcome.CANCELED));
        }
    }

    private void scheduleOverdueCheck(OpenRequest open, double untilDueMs) {
        open.overdueTimer =
                EventLoopTimers.schedule(
                        loop, untilDueMs + OVERDUE_GRACE_MS, () -> checkOverdue(open));
    }

    private void checkOverdue(OpenRequest open) {
        double remainingMs = open.dueMs(clock.nowMs()) - clock.nowMs();
        if (remainingMs > 0 && !open.isConcluded()) {
            scheduleOverdueCheck(open, remainingMs);
        } else if (!open.isConcluded()) {
            log.warn("Request overdue without a decision: requestId", open.id());
            failWithoutBalancer(open);
        }
    }

    /**
     * Fails a request without a decision of the balancer, which is told that the client is gone.
     */
    private void failWithoutBalancer(OpenRequest open) {
        open.conclude("failed", clock.nowMs());
        open.responseHandler.onFailed();
        events.add(open, now -> balancer.onClientGone(now, open.id()));
    }

    /** Delivers an event to the balancer, and removes its request if that is over afterwards. */
    private void deliver(OpenRequest open, BalancerEventQueue.BalancerEvent event) {
        try {
            event.deliver(clock.nowMs());
        } catch (RuntimeException e) {
            log.error("Decision module failed: cause", e);
            if (open != null && !open.isConcluded() && open.attemptsInFlight == 0) {
                failWithoutBalancer(open);
            }
        }
        if (open != null
                && open.isConcluded()
                && open.attemptsInFlight == 0
                && openRequestsById.remove(open.id()) != null) {
            log.info(open.logLine());
        }
    }

    // ---- decisions of the balancer ----

    @Override
    public void send(String id, String server, double timeoutMs) {
        OpenRequest open = openRequestsById.get(id);
        if (open == null) {
            log.warn("Attempt ignored, request not open: requestId", id);
            return;
        }
        if (!open.isConcluded() && open.responseHandler.isClientGone()) {
            onClientGone(id);
        }
        double now = clock.nowMs();
        RequestAttempt attempt = open.addAttempt(server, now);
        double remainingMs = open.dueMs(now) - now;
        double waitMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        if (!mayBeSent(open, remainingMs)) {
            finishAttempt(open, attempt, AttemptOutcome.IGNORED);
        } else if (waitMs <= 0) {
            finishAttempt(open, attempt, AttemptOutcome.TIMED_OUT);
        } else {
            startAttempt(open, attempt, waitMs);
        }
    }

    /** Whether a request may be sent; its attempts already include the new one. */
    private static boolean mayBeSent(OpenRequest open, double remainingMs) {
        RelayedBody upload = open.forwarded.upload();
        return !open.isConcluded()
                && remainingMs > 0
                && open.attempts.size() <= open.maxAttempts
                && (upload == null || upload.isReplayable());
    }

    @Override
    public void reject(String id, double coolDownMs) {
        OpenRequest open = openRequestsById.get(id);
        if (open != null && !open.isConcluded()) {
            open.conclude("refused", clock.nowMs());
            open.responseHandler.onRejected(coolDownMs);
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest open = openRequestsById.get(id);
        if (open != null && !open.isConcluded()) {
            open.conclude("failed", clock.nowMs());
            open.responseHandler.onFailed();
        }
    }

    @Override
    public void cancel(String id, int number) {
        OpenRequest open = openRequestsById.get(id);
        if (open != null && number < open.attempts.size() && !open.attempts.get(number).streaming) {
            abandonAttempt(open, open.attempts.get(number), AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void startTimer(double inMs, long name) {
        EventLoopTimers.schedule(
                loop, inMs, () -> events.add(null, now -> balancer.onTimer(now, name)));
    }

    @Override
    public void closeIdleConnections(String server) {
        endpointPool.closeIdleConnections(server);
    }

    @Override
    public void subscribe() {
        startDiscoveryWatch.run();
    }

    @Override
    public void log(String line) {
        log.info(line);
    }

    // ---- attempts ----

    private void startAttempt(OpenRequest open, RequestAttempt attempt, double waitMs) {
        scheduleTimeout(open, attempt, waitMs, waitMs);
        try {
            attempt.endpointAttempt =
                    endpointPool.send(
                            attempt.server,
                            outgoingRequest(open.forwarded, waitMs),
                            open.forwarded.upload(),
                            open.latestWriteMs(),
                            new AttemptListener() {
                                @Override
                                public void onStreamStarted(EndpointResponse response) {
                                    startStream(open, attempt, response);
                                }

                                @Override
                                public void onFinished(
                                        AttemptOutcome outcome, EndpointResponse response) {
                                    if (outcome == AttemptOutcome.OK && !open.isConcluded()) {
                                        open.conclude("served", clock.nowMs());
                                        open.responseHandler.onServed(response);
                                    }
                                    finishAttempt(open, attempt, outcome);
                                }
                            });
        } catch (RuntimeException e) {
            // It is unknown how much was sent, so the request may have run; the balancer must be
            // notified that the attempt has ended.
            log.error("Sending to endpoint failed: cause", e);
            finishAttempt(open, attempt, AttemptOutcome.RESET);
        }
    }

    private static HttpRequest outgoingRequest(ForwardedRequest forwarded, double waitMs) {
        HttpHeaders headers = forwarded.headers().copy();
        headers.set(RequestHeaders.DEADLINE_MS, (long) Math.ceil(waitMs));
        if (forwarded.upload() != null) {
            return new DefaultHttpRequest(
                    HttpVersion.HTTP_1_1, forwarded.method(), forwarded.uri(), headers);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                forwarded.method(),
                forwarded.uri(),
                Unpooled.wrappedBuffer(forwarded.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /** Starts to relay a large response; no deadline applies once its first byte has arrived. */
    private void startStream(OpenRequest open, RequestAttempt attempt, EndpointResponse response) {
        attempt.timeoutTimer.cancel(false);
        attempt.elapsedMs = elapsedMs(open, attempt);
        attempt.streaming = true;
        open.conclude("served", clock.nowMs());
        open.responseHandler.onServed(response);
        events.add(open, now -> balancer.onStreamStarted(now, open.id(), attempt.number));
        streamWatchdog.watch(
                attempt,
                response.stream(),
                () -> {
                    log.warn("Response stream stalled: requestId", open.id());
                    abandonAttempt(open, attempt, AttemptOutcome.RESET);
                });
    }

    private void scheduleTimeout(
            OpenRequest open, RequestAttempt attempt, double delayMs, double timeoutMs) {
        attempt.timeoutTimer =
                EventLoopTimers.schedule(
                        loop, delayMs, () -> checkTimeout(open, attempt, timeoutMs));
    }

    /**
     * An attempt's timeout counts from the last byte of the request. Before that, time counts only
     * while the endpoint accepts no data, not while the client sends none.
     */
    private void checkTimeout(OpenRequest open, RequestAttempt attempt, double timeoutMs) {
        RelayedBody upload = open.forwarded.upload();
        boolean waitsForClient = upload != null && !upload.isComplete() && upload.hasDemand();
        double remainingMs =
                waitsForClient ? timeoutMs : open.lastProgressMs() + timeoutMs - clock.nowMs();
        if (remainingMs > 0 && !attempt.finished) {
            scheduleTimeout(open, attempt, remainingMs, timeoutMs);
        } else {
            abandonAttempt(open, attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    private double elapsedMs(OpenRequest open, RequestAttempt attempt) {
        return Math.max(0, clock.nowMs() - Math.max(attempt.sentMs, open.lastProgressMs()));
    }

    /**
     * Ends an attempt without waiting for its response. A request that was not written completely
     * has not run.
     */
    private void abandonAttempt(OpenRequest open, RequestAttempt attempt, AttemptOutcome outcome) {
        if (!attempt.finished) {
            boolean mayHaveRun = attempt.endpointAttempt.abandon();
            finishAttempt(
                    open,
                    attempt,
                    mayHaveRun || outcome == AttemptOutcome.CANCELED
                            ? outcome
                            : AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void finishAttempt(OpenRequest open, RequestAttempt attempt, AttemptOutcome outcome) {
        if (attempt.finished) {
            return;
        }
        attempt.finished = true;
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
        }
        double elapsedMs = attempt.streaming ? attempt.elapsedMs : elapsedMs(open, attempt);
        attempt.outcome = outcome;
        attempt.elapsedMs = elapsedMs;
        if (outcomeListener != null) {
            boolean late = elapsedMs > open.requestClass.latencyTargetMs();
            outcomeListener.onAttemptFinished(attempt.server, outcome, late);
        }
        events.add(
                open,
                now -> {
                    open.attemptsInFlight--;
                    balancer.onAttemptFinished(
                            now,
                            new AttemptResult(
                                    open.id(),
                                    attempt.number,
                                    attempt.server,
                                    outcome,
                                    elapsedMs,
                                    open.isConcluded(),
                                    LoadReport.NONE));
                });
    }
}
