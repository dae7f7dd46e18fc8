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
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.Discovery;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.Sidecars.Post;
import poppynotch.lab.world.SimulatedDay;
import poppynotch.lab.world.Time;
import poppynotch.lab.world.WorldListener.End;

/**
 * A sidecar on the virtual clock: a policy with a host that does what the real one does with
 * sockets, in its order, with the delays of the modelled network.
 */
final class VirtualSidecar implements SidecarPort, BalancerActions {

    /**
     * So long after its deadline a request that nothing has concluded fails, as in the real
     * sidecar.
     */
    private static final double OVERDUE_MS = 5;

    /**
     * How long discovery is asked to wait, by which part each wait is shorter, and when silence is
     * a failure.
     */
    private static final double MOST_WAIT_MS = 4000;

    private static final double WAIT_SPREAD = 0.25;
    private static final double SILENCE_MS = 1000;

    /** A nodo's own sidecar is on its machine. */
    private static final double LOCAL_MS = 0.05;

    private static final class Open {
        final Call call;
        final Consumer<Answer> answer;
        final int mostTries;
        final List<Try> tries = new ArrayList<>(2);
        Time.Alarm overdue;
        boolean concluded;
        int out;

        Open(Call call, Consumer<Answer> answer, int mostTries) {
            this.call = call;
            this.answer = answer;
            this.mostTries = mostTries;
        }
    }

    private static final class Try {
        final int number;
        final ModelServer nodo;
        final double sentAt;

        /** The nodo's process that the connection leads to; NaN while there is none. */
        double process = Double.NaN;

        Time.Alarm timeout;
        ModelServer.Job job;
        boolean written;
        boolean ended;

        Try(int number, ModelServer nodo, double sentAt) {
            this.number = number;
            this.nodo = nodo;
            this.sentAt = sentAt;
        }
    }

    /** An idle connection: to which process of the nodo, and since when. */
    private record Idle(double process, double since) {}

    private final SimulatedDay scene;
    private final Post post;
    private final BalancerEvents policy;
    private final SplittableRandom random;
    private final BalancerSettings settings;
    private final Map<String, Open> table = new LinkedHashMap<>();
    private final Map<String, Deque<Idle>> idle = new HashMap<>();
    private final Deque<Consumer<Double>> events = new ArrayDeque<>();
    private boolean telling;
    private boolean alive = true;
    private long version;
    private Discovery.Pending watch;
    private Time.Alarm silence;

    /** Null where nothing is shared. */
    private final Peers.Peer peer;

    interface PolicyMaker {
        BalancerEvents make(BalancerSettings settings, long seed, BalancerActions host);
    }

    VirtualSidecar(
            SimulatedDay scene,
            Post post,
            BalancerSettings settings,
            PolicyMaker maker,
            Peers peers) {
        this.scene = scene;
        this.post = post;
        this.settings = settings;
        random = new SplittableRandom(post.seed());
        policy = maker.make(settings, post.seed(), this);
        version = post.version();
        peer =
                peers == null
                        ? null
                        : peers.join(
                                post,
                                settings,
                                (forMs, advice) -> {
                                    if (alive) {
                                        raise(
                                                now ->
                                                        policy.onFleetAdvice(
                                                                now,
                                                                advice.validUntil(now + forMs)));
                                    }
                                });
        if (peer != null) {
            peer.listed(true, post.known());
        }
        scene.told(post.number(), post.tier(), new Discovery.Listing(version, true, post.known()));
        raise(now -> policy.onServerList(now, ServerListKind.CACHED, post.known()));
    }

    boolean isAlive() {
        return alive;
    }

    int tier() {
        return post.tier();
    }

    /** The policy's limit, or -1 where it knows none. */
    double limit() {
        return policy instanceof LoadBalancer decide ? decide.limit() : -1;
    }

    // ---- callers ----

    private double toCaller(Call call) {
        return call.tier == 0 ? scene.delay(call.zone, post.zone()) : LOCAL_MS;
    }

    @Override
    public void request(Call call, Consumer<Answer> answer) {
        call.sidecar = post.number();
        call.sidecarZone = post.zone();
        scene.time().after(toCaller(call), () -> take(call, answer));
    }

    private void take(Call call, Consumer<Answer> answer) {
        if (!alive) {
            scene.time()
                    .after(toCaller(call), () -> answer.accept(Answer.of(Answer.Kind.UNREACHABLE)));
            return;
        }
        if (call.over) {
            return;
        }
        call.taken = true;
        scene.facts().taken(scene.now(), call);
        if (peer != null) {
            peer.called(call.first.tenant);
        }
        Open open = new Open(call, answer, settings.limits().maxAttempts());
        table.put(call.id, open);
        open.overdue =
                scene.time().after(call.deadline - scene.now() + OVERDUE_MS, () -> overdue(open));
        raise(
                now ->
                        policy.onRequest(
                                now,
                                new Request(
                                        call.id,
                                        call.first.kind,
                                        call.first.tenant,
                                        call.deadline,
                                        call.resent)));
    }

    private void overdue(Open open) {
        if (alive && !open.concluded) {
            conclude(open, Answer.of(Answer.Kind.FAILED));
            raise(now -> policy.onClientGone(now, open.call.id));
        }
    }

    private void conclude(Open open, Answer answer) {
        open.concluded = true;
        open.overdue.cancel();
        scene.time().after(toCaller(open.call), () -> open.answer.accept(answer));
    }

    @Override
    public void abandon(Call call) {
        scene.time()
                .after(
                        toCaller(call),
                        () -> {
                            Open open = table.get(call.id);
                            if (alive && open != null && !open.concluded) {
                                open.concluded = true;
                                open.overdue.cancel();
                                raise(now -> policy.onClientGone(now, call.id));
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
            peer.end();
        }
        events.clear();
        if (watch != null) {
            watch.cancel();
            silence.cancel();
        }
        for (Open open : table.values()) {
            open.overdue.cancel();
            if (!open.concluded) {
                scene.time()
                        .after(
                                toCaller(open.call),
                                () -> open.answer.accept(Answer.of(Answer.Kind.BROKEN)));
            }
            open.tries.stream().filter(made -> !made.ended).forEach(this::leave);
        }
        table.clear();
        idle.forEach(
                (id, connections) ->
                        connections.forEach(each -> hangUp(scene.nodo(id), each.process())));
        idle.clear();
    }

    @Override
    public void terminate() {
        // The front learns of it; what was taken is answered until the end.
    }

    // ---- the policy, which is never called from within its own call ----

    private void raise(Consumer<Double> event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        for (Consumer<Double> next = events.poll(); next != null; next = events.poll()) {
            next.accept(scene.now());
        }
        telling = false;
    }

    private void forget(Open open) {
        if (open.concluded && open.out == 0) {
            table.remove(open.call.id);
        }
    }

    @Override
    public void send(String id, String server, double timeoutMs) {
        Open open = table.get(id);
        if (open == null) {
            return;
        }
        double now = scene.now();
        Try made = new Try(open.tries.size(), scene.nodo(server), now);
        open.tries.add(made);
        open.out++;
        double left = open.call.deadline - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        if (open.concluded || left <= 0 || open.tries.size() > open.mostTries) {
            end(open, made, AttemptOutcome.IGNORED);
        } else if (wait <= 0) {
            end(open, made, AttemptOutcome.TIMED_OUT);
        } else {
            made.timeout =
                    scene.time().after(wait, () -> giveUp(open, made, AttemptOutcome.TIMED_OUT));
            connect(open, made, now + wait);
        }
    }

    // ---- connections ----

    /** Whether nothing passes between this sidecar and a nodo. */
    private boolean cut(ModelServer nodo) {
        return scene.isCut(post.zone(), nodo.zone);
    }

    private double way(ModelServer nodo) {
        return scene.delay(post.zone(), nodo.zone);
    }

    private void connect(Open open, Try made, double until) {
        ModelServer nodo = made.nodo;
        Deque<Idle> kept = idle.getOrDefault(nodo.id, new ArrayDeque<>());
        double oldest = scene.now() - scene.experiment().world().network().idleCloseMs();
        while (!kept.isEmpty()) {
            Idle connection = kept.pollLast();
            boolean stands = connection.process() == nodo.process() && connection.since() > oldest;
            if (stands || cut(nodo)) {
                made.process = connection.process();
                write(open, made, until);
                return;
            }
        }
        Experiment.Network network = scene.experiment().world().network();
        double roundTrip = 2 * way(nodo);
        if (cut(nodo) || roundTrip > network.dialTimeoutMs()) {
            scene.time().after(network.dialTimeoutMs(), () -> unconnected(open, made));
            return;
        }
        scene.time()
                .after(
                        roundTrip,
                        () -> {
                            if (made.ended || !alive) {
                                return;
                            }
                            if (!nodo.isUp() || !nodo.connect(1)) {
                                unconnected(open, made);
                                return;
                            }
                            made.process = nodo.process();
                            nodo.handshake();
                            scene.time()
                                    .after(
                                            roundTrip * network.handshakes(),
                                            () -> write(open, made, until));
                        });
    }

    private void unconnected(Open open, Try made) {
        if (alive && !made.ended) {
            scene.facts().unconnected(scene.now(), open.call, made.nodo);
            end(open, made, AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void write(Open open, Try made, double until) {
        if (made.ended || !alive) {
            return;
        }
        made.written = true;
        scene.facts().sent(scene.now(), open.call, made.nodo);
        if (cut(made.nodo)) {
            return;
        }
        scene.time()
                .after(
                        way(made.nodo),
                        () -> {
                            if (made.nodo.process() != made.process) {
                                answered(open, made, End.RESET);
                                return;
                            }
                            made.job =
                                    made.nodo.submit(
                                            open.call,
                                            until,
                                            scene.informed(post.number(), made.nodo),
                                            end -> answered(open, made, end));
                            if (made.ended) {
                                // Given up on the way: the end of the connection is right behind.
                                made.nodo.cancel(made.job);
                            }
                        });
    }

    private void answered(Open open, Try made, End how) {
        if (cut(made.nodo)) {
            return;
        }
        scene.time()
                .after(
                        way(made.nodo),
                        () -> {
                            if (made.ended || !alive || how == End.LEFT) {
                                return;
                            }
                            AttemptOutcome outcome =
                                    switch (how) {
                                        case SERVED -> AttemptOutcome.OK;
                                        case ERROR -> AttemptOutcome.FAILED;
                                        case TURNED_AWAY -> AttemptOutcome.QUEUE_FULL;
                                        default -> AttemptOutcome.RESET;
                                    };
                            if (how == End.SERVED || how == End.ERROR || how == End.TURNED_AWAY) {
                                idle.computeIfAbsent(made.nodo.id, id -> new ArrayDeque<>())
                                        .add(new Idle(made.process, scene.now()));
                            } else {
                                hangUp(made.nodo, made.process);
                            }
                            if (outcome == AttemptOutcome.OK && !open.concluded) {
                                conclude(open, Answer.of(Answer.Kind.SERVED));
                            }
                            end(open, made, outcome);
                        });
    }

    private void hangUp(ModelServer nodo, double process) {
        if (nodo.process() == process) {
            nodo.connect(-1);
        }
    }

    /** Stops waiting: the connection is closed, which the nodo learns after a while. */
    private void leave(Try made) {
        made.ended = true;
        if (made.timeout != null) {
            made.timeout.cancel();
        }
        if (!Double.isNaN(made.process)) {
            hangUp(made.nodo, made.process);
        }
        if (made.job != null && cut(made.nodo)) {
            made.nodo.lose(made.job);
        } else if (made.written && !cut(made.nodo)) {
            scene.time()
                    .after(
                            way(made.nodo),
                            () -> {
                                if (made.job != null) {
                                    made.nodo.cancel(made.job);
                                }
                            });
        }
    }

    private void giveUp(Open open, Try made, AttemptOutcome outcome) {
        if (!made.ended && alive) {
            leave(made);
            report(
                    open,
                    made,
                    made.written || outcome == AttemptOutcome.CANCELED
                            ? outcome
                            : AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void end(Open open, Try made, AttemptOutcome outcome) {
        if (!made.ended) {
            made.ended = true;
            if (made.timeout != null) {
                made.timeout.cancel();
            }
            report(open, made, outcome);
        }
    }

    private void report(Open open, Try made, AttemptOutcome outcome) {
        double took = Math.max(0, scene.now() - made.sentAt);
        if (peer != null) {
            peer.ended(made.nodo.id, outcome);
        }
        raise(
                now -> {
                    open.out--;
                    policy.onAttemptFinished(
                            now,
                            new AttemptResult(
                                    open.call.id,
                                    made.number,
                                    made.nodo.id,
                                    outcome,
                                    took,
                                    open.concluded,
                                    LoadReport.NONE));
                    forget(open);
                });
    }

    // ---- what else the policy asks for ----

    @Override
    public void reject(String id, double coolDownMs) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, new Answer(Answer.Kind.REFUSED, coolDownMs));
            forget(open);
        }
    }

    @Override
    public void fail(String id) {
        Open open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, Answer.of(Answer.Kind.FAILED));
            forget(open);
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        Open open = table.get(id);
        if (open != null && attempt < open.tries.size()) {
            giveUp(open, open.tries.get(attempt), AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void startTimer(double inMs, long name) {
        scene.time()
                .after(
                        inMs,
                        () -> {
                            if (alive) {
                                raise(now -> policy.onTimer(now, name));
                            }
                        });
    }

    @Override
    public void closeIdleConnections(String server) {
        Deque<Idle> kept = idle.remove(server);
        if (kept != null) {
            kept.forEach(each -> hangUp(scene.nodo(server), each.process()));
        }
    }

    @Override
    public void subscribe() {
        if (watch != null || !alive) {
            return;
        }
        double wait = MOST_WAIT_MS * (1 - WAIT_SPREAD * random.nextDouble());
        silence = scene.time().after(wait + SILENCE_MS, () -> heard(null));
        watch = scene.discovery(post.tier()).call(version, wait, this::heard);
    }

    private void heard(Discovery.Listing listing) {
        if (!alive || watch == null) {
            return;
        }
        watch.cancel();
        watch = null;
        silence.cancel();
        if (listing == null) {
            raise(now -> policy.onServerList(now, ServerListKind.FAILED, List.of()));
            return;
        }
        version = listing.version();
        subscribe();
        scene.told(post.number(), post.tier(), listing);
        if (peer != null) {
            peer.listed(listing.full(), listing.servers());
        }
        raise(
                now ->
                        policy.onServerList(
                                now,
                                listing.full() ? ServerListKind.FULL : ServerListKind.DELTA,
                                listing.servers()));
    }

    @Override
    public void log(String line) {
        // What a policy says of itself is of no use here: the ledger counts.
    }
}
