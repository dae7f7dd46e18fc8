package poppynotch.lab.virtual;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.AttemptResult;
import poppynotch.balancer.BalancerActions;
import poppynotch.balancer.BalancerEvents;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.LoadBalancer;
import poppynotch.balancer.LoadReport;
import poppynotch.balancer.Request;
import poppynotch.balancer.ServerListKind;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.Discovery;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.Sidecars.Placement;
import poppynotch.lab.world.SimulatedDay;
import poppynotch.lab.world.SimulationClock;
import poppynotch.lab.world.WorldListener.End;

/**
 * A sidecar on the virtual clock: hosts a balancing policy and does what the real sidecar does with
 * sockets, in the same order, with the delays of the simulated network.
 *
 * <p>Created by {@link VirtualWorld}; all of it runs on the day's thread. {@link #kill} cancels its
 * timers and closes its connections.
 */
final class VirtualSidecar implements SidecarPort, BalancerActions {

    /**
     * A request without a conclusion fails this long after its deadline, as in the real sidecar.
     */
    private static final double OVERDUE_GRACE_MS = 5;

    /**
     * How long discovery is asked to wait at most; each wait is shortened by up to the jitter
     * fraction, and the call has failed if there is no answer within the margin after the wait.
     */
    private static final double MAX_WATCH_WAIT_MS = 4000;

    private static final double WATCH_WAIT_JITTER = 0.25;
    private static final double WATCH_TIMEOUT_MARGIN_MS = 1000;

    /** One way between a model server and its own sidecar, which is on the same machine. */
    private static final double LOCAL_DELAY_MS = 0.05;

    private static final class PendingRequest {
        final Call call;
        final Consumer<Answer> answer;
        final int maxAttempts;
        final List<Attempt> attempts = new ArrayList<>(2);
        SimulationClock.Timer overdueTimer;
        boolean concluded;
        int attemptsInFlight;

        PendingRequest(Call call, Consumer<Answer> answer, int maxAttempts) {
            this.call = call;
            this.answer = answer;
            this.maxAttempts = maxAttempts;
        }
    }

    private static final class Attempt {
        final int number;
        final ModelServer modelServer;
        final double sentAtMs;

        /** The server's incarnation that the connection leads to; NaN while there is none. */
        double incarnation = Double.NaN;

        SimulationClock.Timer timeout;
        ModelServer.Job job;
        boolean written;
        boolean ended;

        Attempt(int number, ModelServer modelServer, double sentAtMs) {
            this.number = number;
            this.modelServer = modelServer;
            this.sentAtMs = sentAtMs;
        }
    }

    /** An idle connection to an incarnation of a model server. */
    private record IdleConnection(double incarnation, double idleSinceMs) {}

    private final SimulatedDay day;
    private final Placement placement;
    private final BalancerEvents policy;
    private final SplittableRandom random;
    private final BalancerSettings settings;
    private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
    private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();
    private final Deque<Consumer<Double>> pendingEvents = new ArrayDeque<>();
    private boolean dispatching;
    private boolean alive = true;
    private long listVersion;
    private Discovery.PendingCall pendingWatch;
    private SimulationClock.Timer watchTimeout;

    /** Null where nothing is shared. */
    private final Peers.Peer peer;

    interface PolicyMaker {
        BalancerEvents make(BalancerSettings settings, long seed, BalancerActions host);
    }

    VirtualSidecar(
            SimulatedDay day,
            Placement post,
            BalancerSettings settings,
            PolicyMaker maker,
            Peers peers) {
        this.day = day;
        this.placement = post;
        this.settings = settings;
        random = new SplittableRandom(post.seed());
        policy = maker.make(settings, post.seed(), this);
        listVersion = post.knownVersion();
        peer =
                peers == null
                        ? null
                        : peers.join(
                                post,
                                settings,
                                (forMs, advice) -> {
                                    if (alive) {
                                        dispatch(
                                                now ->
                                                        policy.onFleetAdvice(
                                                                now,
                                                                advice.validUntil(now + forMs)));
                                    }
                                });
        if (peer != null) {
            peer.onServerList(true, post.knownServers());
        }
        day.onListingDelivered(
                post.number(),
                post.tier(),
                new Discovery.Listing(listVersion, true, post.knownServers()));
        dispatch(now -> policy.onServerList(now, ServerListKind.CACHED, post.knownServers()));
    }

    boolean isAlive() {
        return alive;
    }

    int tier() {
        return placement.tier();
    }

    /** The policy's limit, or -1 where it knows none. */
    double limit() {
        return policy instanceof LoadBalancer decide ? decide.limit() : -1;
    }

    // ---- callers ----

    private double drawCallerDelayMs(Call call) {
        return call.tier == 0 ? day.drawDelayMs(call.zone, placement.zone()) : LOCAL_DELAY_MS;
    }

    @Override
    public void request(Call call, Consumer<Answer> answer) {
        call.sidecar = placement.number();
        call.sidecarZone = placement.zone();
        day.time().schedule(drawCallerDelayMs(call), () -> accept(call, answer));
    }

    private void accept(Call call, Consumer<Answer> answer) {
        if (!alive) {
            day.time()
                    .schedule(
                            drawCallerDelayMs(call),
                            () -> answer.accept(Answer.of(Answer.Kind.UNREACHABLE)));
            return;
        }
        if (call.completed) {
            return;
        }
        call.accepted = true;
        day.listener().onCallAccepted(day.now(), call);
        if (peer != null) {
            peer.onCall(call.clientRequest.tenantIndex);
        }
        PendingRequest pending = new PendingRequest(call, answer, settings.limits().maxAttempts());
        pendingRequests.put(call.id, pending);
        pending.overdueTimer =
                day.time()
                        .schedule(
                                call.deadlineMs - day.now() + OVERDUE_GRACE_MS,
                                () -> onOverdue(pending));
        dispatch(
                now ->
                        policy.onRequest(
                                now,
                                new Request(
                                        call.id,
                                        call.clientRequest.classIndex,
                                        call.clientRequest.tenantIndex,
                                        call.deadlineMs,
                                        call.isRetry)));
    }

    private void onOverdue(PendingRequest pending) {
        if (alive && !pending.concluded) {
            conclude(pending, Answer.of(Answer.Kind.FAILED));
            dispatch(now -> policy.onClientGone(now, pending.call.id));
        }
    }

    private void conclude(PendingRequest pending, Answer answer) {
        pending.concluded = true;
        pending.overdueTimer.cancel();
        day.time().schedule(drawCallerDelayMs(pending.call), () -> pending.answer.accept(answer));
    }

    @Override
    public void abandon(Call call) {
        day.time()
                .schedule(
                        drawCallerDelayMs(call),
                        () -> {
                            PendingRequest pending = pendingRequests.get(call.id);
                            if (alive && pending != null && !pending.concluded) {
                                pending.concluded = true;
                                pending.overdueTimer.cancel();
                                dispatch(now -> policy.onClientGone(now, call.id));
                            }
                        });
    }

    @Override
    public void kill() {
        if (!alive) {
            return;
        }
        alive = false;
        if (peer != null) {
            peer.onProcessKilled();
        }
        pendingEvents.clear();
        if (pendingWatch != null) {
            pendingWatch.cancel();
            watchTimeout.cancel();
        }
        for (PendingRequest pending : pendingRequests.values()) {
            pending.overdueTimer.cancel();
            if (!pending.concluded) {
                day.time()
                        .schedule(
                                drawCallerDelayMs(pending.call),
                                () -> pending.answer.accept(Answer.of(Answer.Kind.BROKEN)));
            }
            pending.attempts.stream()
                    .filter(attempt -> !attempt.ended)
                    .forEach(this::abandonAttempt);
        }
        pendingRequests.clear();
        idleConnections.forEach(
                (id, connections) ->
                        connections.forEach(
                                each -> closeConnection(day.modelServer(id), each.incarnation())));
        idleConnections.clear();
    }

    @Override
    public void terminate() {
        // The front proxy is notified; requests in flight are answered until the end.
    }

    // ---- the policy, which is never called from within its own call ----

    private void dispatch(Consumer<Double> event) {
        pendingEvents.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        for (Consumer<Double> next = pendingEvents.poll();
                next != null;
                next = pendingEvents.poll()) {
            next.accept(day.now());
        }
        dispatching = false;
    }

    private void removeIfFinished(PendingRequest pending) {
        if (pending.concluded && pending.attemptsInFlight == 0) {
            pendingRequests.remove(pending.call.id);
        }
    }

    @Override
    public void send(String id, String server, double timeoutMs) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending == null) {
            return;
        }
        double now = day.now();
        Attempt attempt = new Attempt(pending.attempts.size(), day.modelServer(server), now);
        pending.attempts.add(attempt);
        pending.attemptsInFlight++;
        double left = pending.call.deadlineMs - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        if (pending.concluded || left <= 0 || pending.attempts.size() > pending.maxAttempts) {
            finishAttempt(pending, attempt, AttemptOutcome.IGNORED);
        } else if (wait <= 0) {
            finishAttempt(pending, attempt, AttemptOutcome.TIMED_OUT);
        } else {
            attempt.timeout =
                    day.time()
                            .schedule(
                                    wait, () -> giveUp(pending, attempt, AttemptOutcome.TIMED_OUT));
            connect(pending, attempt, now + wait);
        }
    }

    // ---- connections ----

    /** Whether nothing passes between this sidecar and a model server. */
    private boolean isPartitionedFrom(ModelServer modelServer) {
        return day.isPartitioned(placement.zone(), modelServer.zone);
    }

    private double drawOneWayDelayMs(ModelServer modelServer) {
        return day.drawDelayMs(placement.zone(), modelServer.zone);
    }

    private void connect(PendingRequest pending, Attempt attempt, double untilMs) {
        ModelServer modelServer = attempt.modelServer;
        IdleConnection reusable = takeIdleConnection(modelServer);
        if (reusable != null) {
            attempt.incarnation = reusable.incarnation();
            sendOnConnection(pending, attempt, untilMs);
            return;
        }
        double dialTimeoutMs = day.experiment().world().network().dialTimeoutMs();
        double roundTripMs = 2 * drawOneWayDelayMs(modelServer);
        if (isPartitionedFrom(modelServer) || roundTripMs > dialTimeoutMs) {
            day.time().schedule(dialTimeoutMs, () -> onConnectFailed(pending, attempt));
            return;
        }
        day.time().schedule(roundTripMs, () -> onConnected(pending, attempt, untilMs, roundTripMs));
    }

    /** The newest idle connection that can be used, or null; unusable ones are dropped. */
    private IdleConnection takeIdleConnection(ModelServer modelServer) {
        Deque<IdleConnection> connections =
                idleConnections.getOrDefault(modelServer.id, new ArrayDeque<>());
        double oldestMs = day.now() - day.experiment().world().network().idleCloseMs();
        while (!connections.isEmpty()) {
            IdleConnection connection = connections.pollLast();
            boolean isOpen =
                    connection.incarnation() == modelServer.incarnation()
                            && connection.idleSinceMs() > oldestMs;
            // Across a partition the sidecar cannot see that the connection was closed.
            if (isOpen || isPartitionedFrom(modelServer)) {
                return connection;
            }
        }
        return null;
    }

    private void onConnected(
            PendingRequest pending, Attempt attempt, double untilMs, double roundTripMs) {
        if (attempt.ended || !alive) {
            return;
        }
        ModelServer modelServer = attempt.modelServer;
        if (!modelServer.isUp() || !modelServer.adjustConnectionCount(1)) {
            onConnectFailed(pending, attempt);
            return;
        }
        attempt.incarnation = modelServer.incarnation();
        modelServer.onHandshake();
        double handshakeMs = roundTripMs * day.experiment().world().network().handshakes();
        day.time().schedule(handshakeMs, () -> sendOnConnection(pending, attempt, untilMs));
    }

    private void onConnectFailed(PendingRequest pending, Attempt attempt) {
        if (alive && !attempt.ended) {
            day.listener().onConnectFailed(day.now(), pending.call, attempt.modelServer);
            finishAttempt(pending, attempt, AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void sendOnConnection(PendingRequest pending, Attempt attempt, double untilMs) {
        if (attempt.ended || !alive) {
            return;
        }
        attempt.written = true;
        day.listener().onAttemptSent(day.now(), pending.call, attempt.modelServer);
        if (!isPartitionedFrom(attempt.modelServer)) {
            double delayMs = drawOneWayDelayMs(attempt.modelServer);
            day.time().schedule(delayMs, () -> onArrivedAtServer(pending, attempt, untilMs));
        }
    }

    private void onArrivedAtServer(PendingRequest pending, Attempt attempt, double untilMs) {
        ModelServer modelServer = attempt.modelServer;
        if (modelServer.incarnation() != attempt.incarnation) {
            onAttemptAnswered(pending, attempt, End.RESET);
            return;
        }
        attempt.job =
                modelServer.submit(
                        pending.call,
                        untilMs,
                        day.knowsIncarnation(placement.number(), modelServer),
                        end -> onAttemptAnswered(pending, attempt, end));
        if (attempt.ended) {
            // Given up meanwhile: the close of the connection follows the request.
            modelServer.cancel(attempt.job);
        }
    }

    /** The attempt has ended at the server, which the sidecar learns after the network's delay. */
    private void onAttemptAnswered(PendingRequest pending, Attempt attempt, End end) {
        if (!isPartitionedFrom(attempt.modelServer)) {
            double delayMs = drawOneWayDelayMs(attempt.modelServer);
            day.time().schedule(delayMs, () -> onEndReceived(pending, attempt, end));
        }
    }

    private void onEndReceived(PendingRequest pending, Attempt attempt, End end) {
        if (attempt.ended || !alive || end == End.LEFT) {
            return;
        }
        AttemptOutcome outcome =
                switch (end) {
                    case SERVED -> AttemptOutcome.OK;
                    case ERROR -> AttemptOutcome.FAILED;
                    case TURNED_AWAY -> AttemptOutcome.QUEUE_FULL;
                    default -> AttemptOutcome.RESET;
                };
        if (outcome == AttemptOutcome.RESET) {
            closeConnection(attempt.modelServer, attempt.incarnation);
        } else {
            idleConnections
                    .computeIfAbsent(attempt.modelServer.id, id -> new ArrayDeque<>())
                    .add(new IdleConnection(attempt.incarnation, day.now()));
        }
        if (outcome == AttemptOutcome.OK && !pending.concluded) {
            conclude(pending, Answer.of(Answer.Kind.SERVED));
        }
        finishAttempt(pending, attempt, outcome);
    }

    private void closeConnection(ModelServer modelServer, double incarnation) {
        if (modelServer.incarnation() == incarnation) {
            modelServer.adjustConnectionCount(-1);
        }
    }

    /** Stops waiting: the connection is closed, which the model server learns after a while. */
    private void abandonAttempt(Attempt attempt) {
        attempt.ended = true;
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
        if (!Double.isNaN(attempt.incarnation)) {
            closeConnection(attempt.modelServer, attempt.incarnation);
        }
        if (attempt.job != null && isPartitionedFrom(attempt.modelServer)) {
            attempt.modelServer.abandonUnnoticed(attempt.job);
        } else if (attempt.written && !isPartitionedFrom(attempt.modelServer)) {
            day.time()
                    .schedule(
                            drawOneWayDelayMs(attempt.modelServer),
                            () -> {
                                if (attempt.job != null) {
                                    attempt.modelServer.cancel(attempt.job);
                                }
                            });
        }
    }

    private void giveUp(PendingRequest pending, Attempt attempt, AttemptOutcome outcome) {
        if (!attempt.ended && alive) {
            abandonAttempt(attempt);
            reportOutcome(
                    pending,
                    attempt,
                    attempt.written || outcome == AttemptOutcome.CANCELED
                            ? outcome
                            : AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void finishAttempt(PendingRequest pending, Attempt attempt, AttemptOutcome outcome) {
        if (!attempt.ended) {
            attempt.ended = true;
            if (attempt.timeout != null) {
                attempt.timeout.cancel();
            }
            reportOutcome(pending, attempt, outcome);
        }
    }

    private void reportOutcome(PendingRequest pending, Attempt attempt, AttemptOutcome outcome) {
        double took = Math.max(0, day.now() - attempt.sentAtMs);
        if (peer != null) {
            peer.onAttemptEnded(attempt.modelServer.id, outcome);
        }
        dispatch(
                now -> {
                    pending.attemptsInFlight--;
                    policy.onAttemptFinished(
                            now,
                            new AttemptResult(
                                    pending.call.id,
                                    attempt.number,
                                    attempt.modelServer.id,
                                    outcome,
                                    took,
                                    pending.concluded,
                                    LoadReport.NONE));
                    removeIfFinished(pending);
                });
    }

    // ---- what else the policy asks for ----

    @Override
    public void reject(String id, double coolDownMs) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null && !pending.concluded) {
            conclude(pending, new Answer(Answer.Kind.REFUSED, coolDownMs));
            removeIfFinished(pending);
        }
    }

    @Override
    public void fail(String id) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null && !pending.concluded) {
            conclude(pending, Answer.of(Answer.Kind.FAILED));
            removeIfFinished(pending);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null && attempt < pending.attempts.size()) {
            giveUp(pending, pending.attempts.get(attempt), AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void startTimer(double inMs, long name) {
        day.time()
                .schedule(
                        inMs,
                        () -> {
                            if (alive) {
                                dispatch(now -> policy.onTimer(now, name));
                            }
                        });
    }

    @Override
    public void closeIdleConnections(String server) {
        Deque<IdleConnection> connections = idleConnections.remove(server);
        if (connections != null) {
            connections.forEach(
                    each -> closeConnection(day.modelServer(server), each.incarnation()));
        }
    }

    @Override
    public void subscribe() {
        if (pendingWatch != null || !alive) {
            return;
        }
        double wait = MAX_WATCH_WAIT_MS * (1 - WATCH_WAIT_JITTER * random.nextDouble());
        watchTimeout = day.time().schedule(wait + WATCH_TIMEOUT_MARGIN_MS, () -> onListing(null));
        pendingWatch = day.discovery(placement.tier()).call(listVersion, wait, this::onListing);
    }

    private void onListing(Discovery.Listing listing) {
        if (!alive || pendingWatch == null) {
            return;
        }
        pendingWatch.cancel();
        pendingWatch = null;
        watchTimeout.cancel();
        if (listing == null) {
            dispatch(now -> policy.onServerList(now, ServerListKind.FAILED, List.of()));
            return;
        }
        listVersion = listing.version();
        subscribe();
        day.onListingDelivered(placement.number(), placement.tier(), listing);
        if (peer != null) {
            peer.onServerList(listing.full(), listing.servers());
        }
        dispatch(
                now ->
                        policy.onServerList(
                                now,
                                listing.full() ? ServerListKind.FULL : ServerListKind.DELTA,
                                listing.servers()));
    }

    @Override
    public void log(String line) {
        // A policy's log lines are not used here: DayScore counts.
    }
}
