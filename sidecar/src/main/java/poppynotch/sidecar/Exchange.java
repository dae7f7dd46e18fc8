package poppynotch.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.AttemptResult;
import poppynotch.balancer.BalancerActions;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.FleetAdvice;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.LoadBalancer;
import poppynotch.balancer.LoadReport;
import poppynotch.balancer.Request;
import poppynotch.balancer.RequestClass;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerListKind;

/**
 * The host of the decision module: the table of open requests and their attempts. It carries out
 * what the module asks for, tells it what comes of it, and sees to it that each request gets one
 * final answer.
 */
final class Exchange implements BalancerActions {

    /** So long after its deadline a request that nothing has concluded fails. */
    private static final double OVERDUE_MS = 5;

    /**
     * A stream is given up when nothing has moved for so long: far longer than any peer that still
     * gives.
     */
    private static final double STALL_MS = 10_000;

    /**
     * So long a client may leave an answer unread, which may wait behind another on its connection.
     */
    private static final double UNREAD_MS = 60_000;

    /**
     * What a client sent, beyond what the module decides by.
     *
     * @param body all of the body, or null for a large one
     * @param upload a large body on its way, or null
     */
    record Message(
            HttpMethod method, String uri, HttpHeaders headers, byte[] body, RelayedBody upload) {}

    /** Where the final answer to a request goes; exactly one of these is called, once. */
    interface Client {
        /** All of the answer, or a large one that has begun. */
        void served(EndpointPool.Answer answer);

        void refused(double coolDownMs);

        void failed();

        /** Whether whoever waits for it has gone by now, also if that has not been told yet. */
        boolean isGone();
    }

    /** What happens to the module, at the time at which it is told. */
    private interface Event {
        void tell(double now);
    }

    /**
     * Hears what happens to calls, for the fleet; there is none where this process is in no fleet.
     */
    interface Witness {
        /** The servers that a list names ready; all of them, or changes. */
        void listed(boolean full, List<Server> servers);

        /** A client's call has come. */
        void called(int tenant);

        /**
         * An attempt at a server has ended; {@code late} if it took longer than its class wants.
         */
        void ended(String server, AttemptOutcome outcome, boolean late);
    }

    private record Queued(Open open, Event event) {}

    private static final class Open {
        final Request request;

        /** Its class, by the settings under which it came. */
        final RequestClass kind;

        final Message message;
        final Client client;
        final double takenAt;

        /** How long the client waits, from its last byte on. */
        final double budgetMs;

        /** The most attempts, by the settings under which it came. */
        final int mostTries;

        final List<Try> tries = new ArrayList<>(2);
        Future<?> overdue;
        boolean concluded;

        /** How it was concluded and when, for the log. */
        String conclusion;

        double concludedAt;

        /** Attempts whose end the module has not been told yet. */
        int out;

        Open(
                Request request,
                RequestClass kind,
                Message message,
                Client client,
                double takenAt,
                int mostTries) {
            this.request = request;
            this.kind = kind;
            this.message = message;
            this.client = client;
            this.takenAt = takenAt;
            this.mostTries = mostTries;
            budgetMs = request.deadlineMs() - takenAt;
        }

        /** When its answer is due: its time counts from its last byte, which may be to come. */
        double dueAt(double now) {
            RelayedBody upload = message.upload();
            return upload == null
                    ? request.deadlineMs()
                    : (upload.isEnded() ? upload.movedAt() : now) + budgetMs;
        }

        /**
         * When its last byte may go out at the latest, by the window of a key that may have run.
         */
        double repeatableUntil() {
            return kind.effect() != Idempotency.BY_KEY
                    ? Double.POSITIVE_INFINITY
                    : tries.stream()
                            .filter(made -> made.ended && !made.outcome.neverRan())
                            .findFirst()
                            .map(made -> made.sentAt + kind.repeatableForMs())
                            .orElse(Double.POSITIVE_INFINITY);
        }

        /** When its last byte, or the last so far, has come or gone on. */
        double movedAt() {
            return message.upload() == null ? 0 : message.upload().movedAt();
        }

        /** The request's way in one line: what became of it, and of each of its attempts. */
        @Override
        public String toString() {
            StringBuilder line =
                    new StringBuilder("request ")
                            .append(request.id())
                            .append(' ')
                            .append(conclusion)
                            .append(" after ")
                            .append(Math.round(concludedAt - takenAt))
                            .append(" ms");
            for (Try made : tries) {
                line.append("; ")
                        .append(made.server)
                        .append(' ')
                        .append(made.outcome)
                        .append(" at ")
                        .append(Math.round(made.sentAt - takenAt))
                        .append(" ms in ")
                        .append(Math.round(made.tookMs))
                        .append(" ms");
            }
            return line.toString();
        }
    }

    /** One attempt of a request. */
    private static final class Try {
        final int number;
        final String server;
        final double sentAt;
        EndpointPool.Attempt attempt;
        Future<?> timeout;
        boolean ended;

        /** Its answer is passed on as it comes. */
        boolean streaming;

        AttemptOutcome outcome;
        double tookMs;

        Try(int number, String server, double sentAt) {
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
        }
    }

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final RateLimitedLog complaints;
    private final EndpointPool endpoints;

    /** Begins a watch on discovery. */
    private final Runnable watch;

    private BalancerSettings settings;
    private final LoadBalancer module;
    private final Map<String, Open> table = new HashMap<>();

    /**
     * Events wait here while the module is at work: it is never called from within its own call.
     */
    private final Deque<Queued> events = new ArrayDeque<>();

    private boolean telling;
    private boolean listed;
    private Witness witness;

    Exchange(
            EventLoop loop,
            MonotonicClock clock,
            RateLimitedLog complaints,
            EndpointPool endpoints,
            Runnable watch,
            SidecarConfig config) {
        this.loop = loop;
        this.clock = clock;
        this.complaints = complaints;
        this.endpoints = endpoints;
        this.watch = watch;
        settings = config.settings();
        module = new LoadBalancer(settings, config.seed(), this);
        tellList(ServerListKind.CACHED, config.known());
        // Who knows of no endpoint cannot serve: that need not wait for the time the module would
        // choose.
        if (!settings.asksForList() || !listed) {
            watch.run();
        }
    }

    /** What happens is told to the fleet too, from now on. */
    void tell(Witness fleet) {
        witness = fleet;
    }

    /** What the fleet advises goes to the module. */
    void advise(double forMs, FleetAdvice given) {
        raise(null, now -> module.onGuidance(now, given.until(now + forMs)));
    }

    BalancerSettings settings() {
        return settings;
    }

    /** Whether a list has named an endpoint yet. */
    boolean knowsEndpoints() {
        return listed;
    }

    /** Whether a list has ever named an endpoint. */
    boolean hasNamed(String endpoint) {
        return module.hasNamed(endpoint);
    }

    /** Takes an endpoint out of service or back; it holds when this returns. */
    void maintain(String endpoint, boolean out) {
        endpoints.bar(endpoint, out);
        raise(null, now -> module.onMaintenance(now, endpoint, out));
    }

    void use(BalancerSettings changed) {
        settings = changed;
        raise(null, now -> module.onSettings(now, changed));
    }

    int openRequests() {
        return table.size();
    }

    boolean has(String id) {
        return table.containsKey(id);
    }

    // ---- what happens ----

    void request(Request request, Message message, Client client) {
        Open open =
                new Open(
                        request,
                        settings.classes().get(request.requestClass()),
                        message,
                        client,
                        clock.now(),
                        settings.limits().tries());
        table.put(request.id(), open);
        if (witness != null) {
            witness.called(request.tenant());
        }
        open.overdue = after(request.deadlineMs() - clock.now() + OVERDUE_MS, () -> overdue(open));
        raise(open, now -> module.onRequest(now, request));
    }

    /** The client's connection has ended before its answer. */
    void clientGone(String id) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, "left by its client");
            // What has not gone out whole has not begun and must not, whatever the site lets be
            // called off.
            open.tries.stream()
                    .filter(made -> !made.ended && !made.attempt.isWritten())
                    .forEach(made -> giveUp(open, made, AttemptOutcome.CANCELED));
            raise(open, now -> module.onClientGone(now, id));
        } else if (open != null) {
            open.tries.stream()
                    .filter(made -> made.streaming)
                    .forEach(made -> giveUp(open, made, AttemptOutcome.CANCELED));
        }
    }

    private void overdue(Open open) {
        double left = open.dueAt(clock.now()) - clock.now();
        if (left > 0 && !open.concluded) {
            open.overdue = after(left + OVERDUE_MS, () -> overdue(open));
        } else if (!open.concluded) {
            complaints.log("no decision by the deadline", open.request.id());
            abandon(open);
        }
    }

    /**
     * Fails a request without the module, and lets the module know that it owes nothing any more.
     */
    private void abandon(Open open) {
        conclude(open, "failed");
        open.client.failed();
        raise(open, now -> module.onClientGone(now, open.request.id()));
    }

    /** Discovery has told of endpoints. */
    void listed(ServerList list) {
        tellList(list.full() ? ServerListKind.FULL : ServerListKind.DELTA, list);
    }

    private void tellList(ServerListKind kind, ServerList list) {
        listed |= !list.entries().isEmpty();
        endpoints.update(list);
        if (witness != null) {
            witness.listed(kind != ServerListKind.DELTA, list.servers());
        }
        raise(null, now -> module.onServers(now, kind, list.servers()));
    }

    private void raise(Open open, Event event) {
        events.add(new Queued(open, event));
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Queued next = events.poll(); next != null; next = events.poll()) {
                tell(next.open(), next.event());
            }
        } finally {
            telling = false;
        }
    }

    private void tell(Open open, Event event) {
        try {
            event.tell(clock.now());
        } catch (RuntimeException e) {
            complaints.bug("the decision module failed", e);
            if (open != null && !open.concluded && open.out == 0) {
                abandon(open);
            }
        }
        if (open != null
                && open.concluded
                && open.out == 0
                && table.remove(open.request.id()) != null) {
            complaints.say(open.toString());
        }
    }

    // ---- what the module has done ----

    @Override
    public void send(String id, String server, double timeoutMs) {
        Open open = table.get(id);
        if (open == null) {
            complaints.log("an attempt for a request that is not open", id);
            return;
        }
        if (!open.concluded && open.client.isGone()) {
            clientGone(id);
        }
        double now = clock.now();
        Try made = new Try(open.tries.size(), server, now);
        open.tries.add(made);
        open.out++;
        double left = open.dueAt(now) - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        RelayedBody upload = open.message.upload();
        if (open.concluded
                || left <= 0
                || open.tries.size() > open.mostTries
                || upload != null && !upload.isHeld()) {
            end(open, made, AttemptOutcome.IGNORED);
        } else if (wait <= 0) {
            end(open, made, AttemptOutcome.TIMED_OUT);
        } else {
            made.timeout = after(wait, () -> timeOut(open, made, wait));
            try {
                made.attempt =
                        endpoints.send(
                                server,
                                message(open.message, wait),
                                upload,
                                open.repeatableUntil(),
                                new EndpointPool.Ending() {
                                    @Override
                                    public void started(EndpointPool.Answer answer) {
                                        stream(open, made, answer);
                                    }

                                    @Override
                                    public void ended(
                                            AttemptOutcome outcome, EndpointPool.Answer answer) {
                                        if (outcome == AttemptOutcome.OK && !open.concluded) {
                                            conclude(open, "served");
                                            open.client.served(answer);
                                        }
                                        end(open, made, outcome);
                                    }
                                });
            } catch (RuntimeException e) {
                // How far it came is not known, so it may have run; the module must hear of its
                // end.
                complaints.bug("sending failed", e);
                end(open, made, AttemptOutcome.RESET);
            }
        }
    }

    /** From its first byte on a large answer is the client's: no time runs any more. */
    private void stream(Open open, Try made, EndpointPool.Answer answer) {
        made.timeout.cancel(false);
        made.tookMs = took(open, made);
        made.streaming = true;
        conclude(open, "served");
        open.client.served(answer);
        raise(open, now -> module.onStreamStarted(now, open.request.id(), made.number));
        after(STALL_MS, () -> mindStall(open, made, answer.stream()));
    }

    private void mindStall(Open open, Try made, RelayedBody download) {
        double left =
                download.movedAt() + (download.isWanted() ? STALL_MS : UNREAD_MS) - clock.now();
        if (made.ended) {
            return;
        }
        if (left > 0) {
            // Which of the two it is may change meanwhile.
            after(Math.min(left, STALL_MS), () -> mindStall(open, made, download));
        } else {
            complaints.log("a stream has stalled", open.request.id());
            giveUp(open, made, AttemptOutcome.RESET);
        }
    }

    /**
     * An attempt's time counts from the request's last byte. Until that has come it runs only while
     * the endpoint takes nothing, not while the client gives nothing.
     */
    private void timeOut(Open open, Try made, double waitMs) {
        RelayedBody upload = open.message.upload();
        double left =
                upload != null && !upload.isEnded() && upload.isWanted()
                        ? waitMs
                        : open.movedAt() + waitMs - clock.now();
        if (left > 0 && !made.ended) {
            made.timeout = after(left, () -> timeOut(open, made, waitMs));
        } else {
            giveUp(open, made, AttemptOutcome.TIMED_OUT);
        }
    }

    private double took(Open open, Try made) {
        return Math.max(0, clock.now() - Math.max(made.sentAt, open.movedAt()));
    }

    private static HttpRequest message(Message from, double waitMs) {
        HttpHeaders headers = from.headers().copy();
        headers.set(Frontend.DEADLINE, (long) Math.ceil(waitMs));
        if (from.upload() != null) {
            return new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), headers);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                from.method(),
                from.uri(),
                Unpooled.wrappedBuffer(from.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /** Stops waiting for an attempt. One that was not written whole is known not to have run. */
    private void giveUp(Open open, Try made, AttemptOutcome outcome) {
        if (!made.ended) {
            boolean mayHaveRun = made.attempt.giveUp();
            end(
                    open,
                    made,
                    mayHaveRun || outcome == AttemptOutcome.CANCELED
                            ? outcome
                            : AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void end(Open open, Try made, AttemptOutcome outcome) {
        if (made.ended) {
            return;
        }
        made.ended = true;
        if (made.timeout != null) {
            made.timeout.cancel(false);
        }
        double took = made.streaming ? made.tookMs : took(open, made);
        made.outcome = outcome;
        made.tookMs = took;
        if (witness != null) {
            witness.ended(made.server, outcome, took > open.kind.aimMs());
        }
        raise(
                open,
                now -> {
                    open.out--;
                    module.onFinished(
                            now,
                            new AttemptResult(
                                    open.request.id(),
                                    made.number,
                                    made.server,
                                    outcome,
                                    took,
                                    open.concluded,
                                    LoadReport.NONE));
                });
    }

    private void conclude(Open open, String how) {
        open.concluded = true;
        open.conclusion = how;
        open.concludedAt = clock.now();
        open.overdue.cancel(false);
    }

    @Override
    public void refuse(String id, double coolDownMs) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, "refused");
            open.client.refused(coolDownMs);
        }
    }

    @Override
    public void fail(String id) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, "failed");
            open.client.failed();
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        Open open = table.get(id);
        if (open != null && attempt < open.tries.size() && !open.tries.get(attempt).streaming) {
            giveUp(open, open.tries.get(attempt), AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void timer(double inMs, long name) {
        after(inMs, () -> raise(null, now -> module.onTimer(now, name)));
    }

    @Override
    public void disconnect(String server) {
        endpoints.disconnect(server);
    }

    @Override
    public void subscribe() {
        watch.run();
    }

    @Override
    public void log(String line) {
        complaints.say(line);
    }

    private Future<?> after(double ms, Runnable task) {
        return loop.schedule(task, (long) (Math.max(0, ms) * 1e6), TimeUnit.NANOSECONDS);
    }
}
