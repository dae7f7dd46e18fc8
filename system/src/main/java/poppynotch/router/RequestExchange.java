package poppynotch.router;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.Route;
import poppynotch.config.RouteType;
import poppynotch.config.Tenant;
import poppynotch.pool.AcquireResult;
import poppynotch.pool.RequestProfile;
import poppynotch.pool.ServerPool;
import poppynotch.pool.Slot;
import poppynotch.pool.SlotOutcome;

/**
 * One client's request and the servers it is sent to. What may have run is sent again only if it is
 * idempotent; what is answered with a promise that it did not run, never ran. Owned by the event
 * loop.
 */
final class RequestExchange {

    private static final Logger LOG = LoggerFactory.getLogger(RequestExchange.class);

    /** Servers that could not be reached are not counted as attempts; so many are passed over. */
    private static final int MOST_UNREACHABLE = 4;

    /** Time for a server's own answer at the deadline to come here. */
    private static final long DEADLINE_SLACK_MS = 40;

    /** With less time than this left nothing is sent again. */
    private static final long LEAST_LEFT_MS = 30;

    /** A server with a model that says nothing on any connection for so long is suspected. */
    private static final long SILENCE_MS = 700;

    /** Tokens that a server surely reads in a ms: what it has yet to read explains its silence. */
    private static final double SLOWEST_TOKENS_PER_MS = 30;

    private static final int MOST_PRIORITY = 9;
    private static final int MOST_WHOLE_BODY = 8 * 1024 * 1024;

    private enum Mode {
        /** No answer yet. */
        NONE,
        /** The server did not run the request. */
        NOT_RUN,
        /** The answer is passed on when it is whole. */
        WHOLE,
        /** Events are passed on as they come. */
        STREAM
    }

    private final EdgeContext edge;
    private final ClientRequest request;
    private final ClientAnswer client;
    private final Route route;
    private final Tenant tenant;
    private final long quotaAmount;
    private final String backend;
    private final RequestProfile profile;
    private final long deadlineMs;
    private final Set<String> tried = new HashSet<>();
    private final Future<?> timer;
    private int sends;
    private int unreachable;
    private boolean mayHaveRun;
    private Attempt attempt;
    private boolean headSent;
    private Optional<String> lastEventId = Optional.empty();
    private boolean concluded;

    RequestExchange(
            EdgeContext edge,
            ClientRequest request,
            ClientAnswer client,
            Route route,
            Tenant tenant,
            long quotaAmount,
            long patienceMs) {
        this.edge = edge;
        this.request = request;
        this.client = client;
        this.route = route;
        this.tenant = tenant;
        this.quotaAmount = quotaAmount;
        backend = edge.state().backendOf(route);
        profile = Headers.profile(request.headers());
        deadlineMs = request.arrivedMs() + Math.min(patienceMs, route.timeoutMs());
        timer =
                edge.loop()
                        .schedule(
                                this::timeOut,
                                Math.max(0, deadlineMs - edge.now()) + DEADLINE_SLACK_MS,
                                TimeUnit.MILLISECONDS);
    }

    /** Sends the request for the first time. */
    void start() {
        edge.active().add(this);
        edge.state().budget(backend).firstSend();
        send();
    }

    private ServerPool pool() {
        return edge.state().pool(backend);
    }

    private void send() {
        long now = edge.now();
        ServerPool pool = pool();
        AcquireResult acquired =
                pool == null
                        ? new AcquireResult.Nobody()
                        : pool.acquire(now, profile, tried, edge.connections()::isKept);
        if (!(acquired instanceof AcquireResult.Granted granted)) {
            nowhere();
            return;
        }
        attempt = new Attempt(pool, granted.slot(), now);
        attempt.start();
    }

    /** No server can take it. */
    private void nowhere() {
        if (headSent) {
            conclude();
            client.breakOff();
        } else if (mayHaveRun && !route.isIdempotent()) {
            own(LocalResponse.BROKEN);
        } else {
            own(LocalResponse.FULL);
        }
    }

    private void own(LocalResponse reply) {
        LOG.debug(
                "{} {} ends with {}",
                request.headers().get(Headers.ATTEMPT_ID),
                route.name(),
                reply);
        if (!mayHaveRun && tenant != null) {
            edge.state().quotas().giveBack(edge.now(), tenant, quotaAmount);
        }
        conclude();
        client.own(reply, reply.retryAfterMs());
    }

    private void conclude() {
        concluded = true;
        timer.cancel(false);
        edge.active().remove(this);
        request.body().release();
    }

    private void timeOut() {
        if (!concluded) {
            if (attempt != null) {
                attempt.abandon(SlotOutcome.CANCELLED);
            }
            if (headSent) {
                conclude();
                client.breakOff();
            } else {
                own(LocalResponse.TIMED_OUT);
            }
        }
    }

    /** The client has left. */
    void clientGone() {
        if (!concluded) {
            if (attempt != null) {
                attempt.abandon(SlotOutcome.CANCELLED);
            }
            conclude();
        }
    }

    /** The client takes more of the answer, or no more for now. */
    void clientReads(boolean wanted) {
        if (attempt != null && attempt.sending != null) {
            attempt.sending.read(wanted);
        }
    }

    /** Looks whether the server has fallen silent. */
    void watch(long now) {
        if (attempt != null) {
            attempt.watch(now);
        }
    }

    private boolean maySendAgain() {
        return sends < route.maxAttempts()
                && deadlineMs - edge.now() > LEAST_LEFT_MS
                && edge.state().budget(backend).trySpend(edge.now());
    }

    /** The answer of an attempt is missing or broken. */
    private void afterFailure() {
        if (route.isIdempotent() && maySendAgain()) {
            send();
        } else if (headSent) {
            conclude();
            client.breakOff();
        } else if (mayHaveRun) {
            own(LocalResponse.BROKEN);
        } else {
            own(LocalResponse.FULL);
        }
    }

    private FullHttpRequest message(Slot slot, long now) {
        HttpHeaders headers = Headers.endToEnd(request.headers());
        headers.remove(HttpHeaderNames.AUTHORIZATION);
        headers.remove(Headers.TENANT);
        if (tenant != null) {
            headers.set(Headers.TENANT, tenant.name());
        }
        int priority =
                tenant != null && tenant.priority() >= 0 ? tenant.priority() : route.priority();
        headers.set(Headers.PRIORITY, Math.max(0, Math.min(MOST_PRIORITY, priority)));
        headers.set(Headers.DEADLINE, Math.max(1, deadlineMs - now));
        headers.set(Headers.EXPECT_INSTANCE, slot.serverId());
        headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        lastEventId.ifPresent(id -> headers.set(Headers.LAST_EVENT_ID, id));
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.body().retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /** One sending to one server. */
    private final class Attempt implements UpstreamListener {
        private final ServerPool pool;
        private final Slot slot;
        private final long startedMs;
        private UpstreamConnectionPool.Sending sending;
        private boolean over;
        private Mode mode = Mode.NONE;
        private HttpResponse head;
        private ByteBuf body;
        private EventStreamSplitter splitter;

        Attempt(ServerPool pool, Slot slot, long startedMs) {
            this.pool = pool;
            this.slot = slot;
            this.startedMs = startedMs;
        }

        void start() {
            tried.add(slot.serverId());
            sends++;
            edge.announce(backend, slot);
            sending =
                    edge.connections()
                            .send(slot.serverId(), slot.address(), message(slot, startedMs), this);
        }

        private void finish(SlotOutcome end) {
            over = true;
            attempt = null;
            if (body != null) {
                body.release();
                body = null;
            }
            pool.release(edge.now(), slot, end);
        }

        /** Leaves the server; its connection is closed. */
        void abandon(SlotOutcome end) {
            if (!over) {
                mayHaveRun |= sending.cancel();
                finish(end);
            }
        }

        void watch(long now) {
            if (!edge.hasEngine(backend)) {
                return;
            }
            long heard = Math.max(startedMs, pool.lastAnswerMs(slot));
            double limit = SILENCE_MS + pool.backlogTokens(slot) / SLOWEST_TOKENS_PER_MS;
            if (now - heard > limit) {
                pool.suspect(now, slot);
            }
            if (now - heard > 2 * limit && route.isIdempotent() && maySendAgain()) {
                LOG.info("server {} is silent", slot.serverId());
                abandon(SlotOutcome.SILENT);
                send();
            }
        }

        @Override
        public void head(HttpResponse response) {
            if (over) {
                return;
            }
            long now = edge.now();
            head = response;
            int[] load = Headers.load(response.headers());
            if (load != null) {
                pool.loadReported(now, slot, load[0], load[1]);
            }
            int status = response.status().code();
            boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
            if (response.headers().contains(Headers.NOT_EXECUTED)
                    || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
                mode = Mode.NOT_RUN;
                return;
            }
            pool.answered(now, slot);
            explainChoice(now);
            if (success
                    && (!response.headers().contains(Headers.SEAL)
                            || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
                LOG.info("server {} gives an answer that is not its own", slot.serverId());
                breaks();
                return;
            }
            if (success && route.type() == RouteType.STREAMING) {
                mode = Mode.STREAM;
                splitter = new EventStreamSplitter(lastEventId);
            } else {
                mode = Mode.WHOLE;
                body = Unpooled.buffer();
            }
        }

        private void explainChoice(long now) {
            if (LOG.isDebugEnabled()) {
                LOG.debug(
                        "{} of {} at server {}: first answer after {} ms, {} expected,"
                                + " {} of {} tokens new",
                        request.headers().get(Headers.ATTEMPT_ID),
                        route.name(),
                        slot.serverId(),
                        now - request.arrivedMs(),
                        (long) slot.expectedMs(),
                        slot.freshTokens(),
                        profile.promptTokens());
            }
        }

        private void breaks() {
            sending.cancel();
            mayHaveRun = true;
            finish(SlotOutcome.FAILED);
            afterFailure();
        }

        @Override
        public void content(ByteBuf data) {
            if (over) {
                return;
            }
            if (mode == Mode.WHOLE) {
                if (body.readableBytes() + data.readableBytes() > MOST_WHOLE_BODY) {
                    breaks();
                } else {
                    body.writeBytes(data);
                }
            } else if (mode == Mode.STREAM) {
                pool.heard(edge.now(), slot);
                ByteBuf events = splitter.add(data);
                if (events != null) {
                    pass(events);
                    lastEventId = splitter.lastId();
                }
            }
        }

        private void pass(ByteBuf events) {
            if (!headSent) {
                headSent = true;
                mayHaveRun = true;
                client.begin(head.status(), Headers.endToEnd(head.headers()));
            }
            if (!client.part(events)) {
                sending.read(false);
            }
        }

        @Override
        public void end() {
            if (over) {
                return;
            }
            switch (mode) {
                case NOT_RUN -> refused();
                case STREAM -> streamEnds();
                case WHOLE -> answered();
                default -> failed(Failure.BROKEN);
            }
        }

        private void refused() {
            boolean misdirected =
                    head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
            finish(misdirected ? SlotOutcome.CANCELLED : SlotOutcome.REFUSED);
            if (misdirected) {
                edge.misdirected(slot.serverId());
                sends--;
                unreachable++;
            }
            if (unreachable <= MOST_UNREACHABLE && maySendAgain()) {
                send();
            } else {
                nowhere();
            }
        }

        private void streamEnds() {
            ByteBuf rest = splitter.rest();
            if (rest.isReadable() && !Headers.isFramed(head)) {
                // Its connection has ended in the middle of an event.
                rest.release();
                failed(Failure.BROKEN);
                return;
            }
            if (rest.isReadable() || !headSent) {
                pass(rest);
            } else {
                rest.release();
            }
            finish(SlotOutcome.SERVED);
            conclude();
            client.end();
        }

        private void answered() {
            int status = head.status().code();
            boolean serverError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
            ByteBuf whole = body;
            body = null;
            mayHaveRun = true;
            finish(serverError ? SlotOutcome.ERROR : SlotOutcome.SERVED);
            if (serverError && route.isIdempotent() && !headSent && maySendAgain()) {
                whole.release();
                send();
            } else if (headSent) {
                // A stream that was to go on elsewhere gets an error there.
                whole.release();
                conclude();
                client.breakOff();
            } else if (promisesNotRun(status) && !route.isIdempotent()) {
                whole.release();
                own(LocalResponse.BROKEN);
            } else {
                conclude();
                client.whole(head.status(), Headers.endToEnd(head.headers()), whole);
            }
        }

        /**
         * Statuses that tell a client that its request has not run, which this server has not said.
         */
        private static boolean promisesNotRun(int status) {
            return status == 408 || status == 421 || status == 429 || status == 503;
        }

        @Override
        public void failed(Failure failure) {
            if (over) {
                return;
            }
            if (failure == Failure.NOT_SENT) {
                finish(SlotOutcome.UNREACHABLE);
                sends--;
                if (++unreachable <= MOST_UNREACHABLE && deadlineMs - edge.now() > LEAST_LEFT_MS) {
                    send();
                } else {
                    nowhere();
                }
                return;
            }
            boolean notRun = mode == Mode.NOT_RUN;
            finish(SlotOutcome.FAILED);
            mayHaveRun |= !notRun;
            LOG.debug(
                    "server {} breaks off {}",
                    slot.serverId(),
                    request.headers().get(Headers.ATTEMPT_ID));
            afterFailure();
        }
    }
}
