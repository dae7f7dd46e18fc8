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
 * The host of the balancer: the table of open requests and their attempts. It carries out what the
 * balancer decides, notifies it of what comes of that, and sees to it that each request gets one
 * final response.
 *
 * <p>It is owned by {@link Sidecar} and called on the sidecar's event loop only. It holds no
 * buffers: the bodies that it passes on are released by the channel that they are written to.
 */
final class Exchange implements BalancerActions {

    /** So long after its deadline a request that nothing has concluded fails. */
    private static final double OVERDUE_GRACE_MS = 5;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RateLimitedLog log;
    private final EndpointPool endpointPool;
    private final StreamWatchdog streamWatchdog;

    /** Begins a watch on discovery. */
    private final Runnable startDiscoveryWatch;

    private BalancerSettings settings;
    private final LoadBalancer balancer;
    private final Map<String, OpenRequest> openRequestsById = new HashMap<>();
    private final BalancerEventQueue events = new BalancerEventQueue(this::deliver);

    /** Whether a list has named an endpoint yet. */
    private boolean knowsEndpoints;

    /** Null where this process is in no fleet. */
    private OutcomeListener outcomeListener;

    /**
     * An exchange that knows the endpoints that the configuration names.
     *
     * @param startDiscoveryWatch begins a watch on discovery; it is called here already where the
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
        // Who knows of no endpoint cannot serve: that need not wait for the time that the balancer
        // would choose.
        if (!settings.mustRequestList() || !knowsEndpoints) {
            startDiscoveryWatch.run();
        }
    }

    // ---- settings, lists, and what the fleet and operators say ----

    /** From now on the fleet is notified of what happens, too. */
    void setOutcomeListener(OutcomeListener listener) {
        outcomeListener = listener;
    }

    /** Hands the fleet's advice to the balancer; it is valid for so long from now on. */
    void applyFleetAdvice(double validForMs, FleetAdvice advice) {
        events.add(null, now -> balancer.onFleetAdvice(now, advice.validUntil(now + validForMs)));
    }

    BalancerSettings settings() {
        return settings;
    }

    /** Replaces the settings; open requests keep those under which they came. */
    void applySettings(BalancerSettings changed) {
        settings = changed;
        events.add(null, now -> balancer.onSettings(now, changed));
    }

    /** Whether a list has named an endpoint yet. */
    boolean knowsEndpoints() {
        return knowsEndpoints;
    }

    /** Whether a list has ever named this endpoint. */
    boolean hasNamed(String endpoint) {
        return balancer.wasListed(endpoint);
    }

    /** Takes an endpoint out of service or back; it is in force when this returns. */
    void setMaintenance(String endpoint, boolean out) {
        endpointPool.setBlocked(endpoint, out);
        events.add(null, now -> balancer.onMaintenance(now, endpoint, out));
    }

    /** Discovery has sent a list of endpoints, or changes to one. */
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

    /** A client's request was received; the handler gets its final response, maybe at once. */
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

    /** The client's connection has ended before its response. */
    void onClientGone(String id) {
        OpenRequest open = openRequestsById.get(id);
        if (open != null && !open.isConcluded()) {
            open.conclude("left by its client", clock.nowMs());
            // What has not been written completely has not begun and must not, whichever attempts
            // the site allows to be cancelled.
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
        double leftMs = open.dueMs(clock.nowMs()) - clock.nowMs();
        if (leftMs > 0 && !open.isConcluded()) {
            scheduleOverdueCheck(open, leftMs);
        } else if (!open.isConcluded()) {
            log.warn("no decision by the deadline", open.id());
            failWithoutBalancer(open);
        }
    }

    /** Fails a request that the balancer has not concluded, and takes it from the balancer. */
    private void failWithoutBalancer(OpenRequest open) {
        open.conclude("failed", clock.nowMs());
        open.responseHandler.onFailed();
        events.add(open, now -> balancer.onClientGone(now, open.id()));
    }

    /** Notifies the balancer, and forgets the request of the event if it is over then. */
    private void deliver(OpenRequest open, BalancerEventQueue.BalancerEvent event) {
        try {
            event.deliver(clock.nowMs());
        } catch (RuntimeException e) {
            log.error("the decision module failed", e);
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

    // ---- what the balancer decides ----

    @Override
    public void send(String id, String server, double timeoutMs) {
        OpenRequest open = openRequestsById.get(id);
        if (open == null) {
            log.warn("an attempt for a request that is not open", id);
            return;
        }
        if (!open.isConcluded() && open.responseHandler.isClientGone()) {
            onClientGone(id);
        }
        double now = clock.nowMs();
        RequestAttempt attempt = open.addAttempt(server, now);
        double leftMs = open.dueMs(now) - now;
        double waitMs = timeoutMs == 0 ? leftMs : Math.min(timeoutMs, leftMs);
        if (!mayBeSent(open, leftMs)) {
            finishAttempt(open, attempt, AttemptOutcome.IGNORED);
        } else if (waitMs <= 0) {
            finishAttempt(open, attempt, AttemptOutcome.TIMED_OUT);
        } else {
            startAttempt(open, attempt, waitMs);
        }
    }

    /** Whether a request may be sent once more: the attempt is counted already. */
    private static boolean mayBeSent(OpenRequest open, double leftMs) {
        RelayedBody upload = open.forwarded.upload();
        return !open.isConcluded()
                && leftMs > 0
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
            // How far it came is not known, so it may have run; the balancer must be notified of
            // its end.
            log.error("sending failed", e);
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

    /** From its first byte on a large response is the client's: no deadline runs any more. */
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
                    log.warn("a stream has stalled", open.id());
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
     * An attempt's time counts from the request's last byte. Until that has come it runs only while
     * the endpoint takes nothing, not while the client gives nothing.
     */
    private void checkTimeout(OpenRequest open, RequestAttempt attempt, double timeoutMs) {
        RelayedBody upload = open.forwarded.upload();
        boolean waitsForClient = upload != null && !upload.isComplete() && upload.hasDemand();
        double leftMs =
                waitsForClient ? timeoutMs : open.lastProgressMs() + timeoutMs - clock.nowMs();
        if (leftMs > 0 && !attempt.finished) {
            scheduleTimeout(open, attempt, leftMs, timeoutMs);
        } else {
            abandonAttempt(open, attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    private double elapsedMs(OpenRequest open, RequestAttempt attempt) {
        return Math.max(0, clock.nowMs() - Math.max(attempt.sentMs, open.lastProgressMs()));
    }

    /**
     * Stops waiting for an attempt. One that was not written completely is known not to have run.
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
