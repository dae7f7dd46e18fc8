package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.Route;
import poppynotch.config.RouteType;
import poppynotch.pool.EndedAttempt;
import poppynotch.pool.ServerPool;
import poppynotch.pool.Slot;
import poppynotch.pool.SlotOutcome;

/**
 * One attempt at a request: sends it to the server of an acquired slot and reads the response. It
 * reports the server's responses and load to the pool, releases the slot at its end, and then
 * reports an {@link AttemptOutcome} unless it was cancelled. Owned by a {@link RequestExchange},
 * which decides how to proceed; used on the edge's event loop only. It owns the buffered body and
 * releases it unless ownership passes to the receiver of the outcome.
 */
final class Attempt implements UpstreamListener {

    private static final Logger LOG = LoggerFactory.getLogger(Attempt.class);

    private static final int MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024;

    /**
     * A server that runs a model is ejected from the pool if it sends no data on any connection for
     * this long. After twice this time, the request is retried on another server if permitted.
     */
    private static final long INACTIVITY_TIMEOUT_MS = 700;

    /**
     * The prefill speed of a slow server. The inactivity timeout is extended by the time that this
     * speed takes for the server's prompt backlog, as a server may send no data while it prefills.
     */
    private static final double MIN_PREFILL_TOKENS_PER_MS = 30;

    private enum ResponseMode {
        /** No response head has arrived. */
        AWAITING_HEAD,
        /** The server declared that it did not execute the request. */
        NOT_EXECUTED,
        /** The body is buffered and forwarded when it is complete. */
        BUFFERED,
        /** Events are forwarded as they arrive. */
        STREAMING
    }

    private final EdgeContext edge;
    private final ClientRequest request;
    private final Route route;
    private final ClientEventStream stream;
    private final ServerPool pool;
    private final Slot slot;
    private final long startedMs;
    private final Consumer<AttemptOutcome> onOutcome;
    private UpstreamCall call;
    private boolean ended;
    private ResponseMode mode = ResponseMode.AWAITING_HEAD;
    private HttpResponse head;

    /** Time from the start of the attempt to the head of the response. */
    private long firstResponseAfterMs = EndedAttempt.NO_RESPONSE;

    /** The buffered body in mode BUFFERED, else null. */
    private ByteBuf body;

    /** The splitter in mode STREAMING, else null. */
    private EventStreamSplitter splitter;

    /**
     * Creates an attempt that is not started.
     *
     * @param target the slot, which the attempt releases to its pool
     * @param stream receives the events if the response is an event stream
     * @param onOutcome called once when the attempt ends, but not after {@link #cancel}
     */
    Attempt(
            EdgeContext edge,
            ClientRequest request,
            Route route,
            Target target,
            ClientEventStream stream,
            Consumer<AttemptOutcome> onOutcome) {
        this.edge = edge;
        this.request = request;
        this.route = route;
        this.stream = stream;
        this.onOutcome = onOutcome;
        pool = target.pool();
        slot = target.slot();
        startedMs = target.acquiredMs();
    }

    /**
     * The slot that an attempt uses.
     *
     * @param acquiredMs when the slot was acquired, on the edge's monotonic clock
     */
    record Target(ServerPool pool, Slot slot, long acquiredMs) {}

    /**
     * Sends the request. The outcome is never reported before this method returns.
     *
     * @param message ownership passes to the connection, which releases it
     */
    void start(FullHttpRequest message) {
        call = edge.upstreamConnections().send(slot.serverId(), slot.address(), message, this);
    }

    String serverId() {
        return slot.serverId();
    }

    /**
     * Cancels the attempt, closes its connection and releases its slot. No outcome is reported.
     *
     * @return whether the server may have executed the request
     */
    boolean cancel(SlotOutcome slotOutcome) {
        boolean mayHaveExecuted = call.cancel();
        end(slotOutcome);
        return mayHaveExecuted;
    }

    /** Resumes reading the response, or pauses it while the client is slow. */
    void setReading(boolean reading) {
        call.setReading(reading);
    }

    /**
     * Ejects the server from the pool if it has sent no data for the inactivity timeout.
     *
     * @return whether twice the inactivity timeout has passed, so that the request should be
     *     retried on another server
     */
    boolean checkInactivity(long nowMs) {
        long lastActivityMs = Math.max(startedMs, pool.lastResponseMs(slot));
        double timeoutMs =
                INACTIVITY_TIMEOUT_MS + pool.backlogTokens(slot) / MIN_PREFILL_TOKENS_PER_MS;
        if (nowMs - lastActivityMs > timeoutMs) {
            pool.ejectServer(nowMs, slot);
        }
        return nowMs - lastActivityMs > 2 * timeoutMs;
    }

    private void end(SlotOutcome slotOutcome) {
        ended = true;
        if (body != null) {
            body.release();
            body = null;
        }
        long nowMs = edge.nowMs();
        pool.release(nowMs, slot, slotOutcome);
        edge.fleetState().rolloutOutcomes().onEnded(endedAttempt(nowMs, slotOutcome));
    }

    private EndedAttempt endedAttempt(long nowMs, SlotOutcome slotOutcome) {
        return new EndedAttempt(
                pool.backendName(),
                route.name(),
                slot.serverId(),
                slot.versionAtAcquire(),
                slotOutcome,
                firstResponseAfterMs,
                nowMs - startedMs,
                slot.uncachedTokens());
    }

    private void end(SlotOutcome slotOutcome, AttemptOutcome outcome) {
        end(slotOutcome);
        onOutcome.accept(outcome);
    }

    // ---- Response ----

    @Override
    public void onHead(HttpResponse response) {
        if (ended) {
            return;
        }
        long nowMs = edge.nowMs();
        head = response;
        Headers.serverLoad(response.headers())
                .ifPresent(load -> pool.onLoadReport(nowMs, slot, load.running(), load.waiting()));
        if (response.headers().contains(Headers.NOT_EXECUTED) || isMisdirected()) {
            mode = ResponseMode.NOT_EXECUTED;
            return;
        }
        pool.onFirstResponse(nowMs, slot);
        firstResponseAfterMs = nowMs - startedMs;
        logFirstResponse(nowMs);
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !isSealed(response)) {
            LOG.info(
                    "Response rejected, seal missing or content encoded: server={}",
                    slot.serverId());
            discardResponse();
        } else if (success && route.type() == RouteType.STREAMING) {
            mode = ResponseMode.STREAMING;
            splitter = new EventStreamSplitter(stream.lastEventId());
        } else {
            mode = ResponseMode.BUFFERED;
            body = Unpooled.buffer();
        }
    }

    private boolean isMisdirected() {
        return head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    /**
     * Whether a response comes unmodified from the server: it has the server's seal header and no
     * content encoding, which servers never apply.
     */
    private static boolean isSealed(HttpResponse response) {
        return response.headers().contains(Headers.SEAL)
                && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    }

    private void logFirstResponse(long nowMs) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "First response: attemptId={}, route={}, server={}, afterMs={}, expectedMs={},"
                            + " uncachedTokens={}, promptTokens={}",
                    request.headers().get(Headers.ATTEMPT_ID),
                    route.name(),
                    slot.serverId(),
                    nowMs - request.arrivedMs(),
                    (long) slot.expectedFirstResponseMs(),
                    slot.uncachedTokens(),
                    Headers.profile(request.headers()).promptTokens());
        }
    }

    /** Discards a response that must not be forwarded and closes its connection. */
    private void discardResponse() {
        call.cancel();
        end(SlotOutcome.INVALID_RESPONSE, new AttemptOutcome.Failed(true));
    }

    @Override
    public void onContent(ByteBuf data) {
        if (ended) {
            return;
        }
        if (mode == ResponseMode.BUFFERED) {
            if (body.readableBytes() + data.readableBytes() > MAX_BUFFERED_BODY_BYTES) {
                discardResponse();
            } else {
                body.writeBytes(data);
            }
        } else if (mode == ResponseMode.STREAMING) {
            pool.onResponseData(edge.nowMs(), slot);
            ByteBuf events = splitter.add(data);
            if (events != null) {
                forward(events);
            }
        }
    }

    private void forward(ByteBuf events) {
        if (!stream.forward(head, events, splitter.lastId())) {
            call.setReading(false);
        }
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        switch (mode) {
            case NOT_EXECUTED -> onNotExecuted();
            case STREAMING -> onStreamComplete();
            case BUFFERED -> onBodyComplete();
            default -> onFailure(Failure.INCOMPLETE);
        }
    }

    private void onNotExecuted() {
        if (isMisdirected()) {
            // This does not count against the intended server, which did not receive the request.
            end(SlotOutcome.CANCELLED, new AttemptOutcome.Misdirected(slot.serverId()));
        } else {
            end(SlotOutcome.REJECTED, new AttemptOutcome.Rejected());
        }
    }

    private void onStreamComplete() {
        ByteBuf remainder = splitter.remainder();
        if (remainder.isReadable() && !Headers.isFramed(head)) {
            // The response is delimited by the end of its connection, which is inside an event.
            remainder.release();
            onFailure(Failure.INCOMPLETE);
            return;
        }
        if (remainder.isReadable() || !stream.isStarted()) {
            forward(remainder);
        } else {
            remainder.release();
        }
        end(SlotOutcome.SERVED, new AttemptOutcome.StreamCompleted());
    }

    private void onBodyComplete() {
        boolean serverError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        ByteBuf complete = body;
        body = null;
        end(
                serverError ? SlotOutcome.ERROR_RESPONSE : SlotOutcome.SERVED,
                new AttemptOutcome.Completed(head, complete));
    }

    @Override
    public void onFailure(Failure failure) {
        if (ended) {
            return;
        }
        if (failure == Failure.NOT_SENT) {
            end(SlotOutcome.UNREACHABLE, new AttemptOutcome.NotSent());
            return;
        }
        LOG.debug(
                "Attempt failed: attemptId={}, server={}, mode={}",
                request.headers().get(Headers.ATTEMPT_ID),
                slot.serverId(),
                mode);
        boolean mayHaveExecuted = mode != ResponseMode.NOT_EXECUTED;
        end(SlotOutcome.INVALID_RESPONSE, new AttemptOutcome.Failed(mayHaveExecuted));
    }
}
