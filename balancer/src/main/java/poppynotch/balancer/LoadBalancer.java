package poppynotch.balancer;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * One balancer after Boxcar: a bounded pool of ranked slots on servers; every call takes the
 * lowest-ranked free slot, a failed attempt discards its slot and the call goes on to the next best
 * one within bounds, and a full pool turns calls away. Single-threaded; time comes with the events.
 */
public final class LoadBalancer implements BalancerEvents {

    /**
     * An attempt that could be repeated is given up after this multiple of its class's tail time.
     */
    private static final double PATIENCE = 1.5;

    private BalancerSettings settings;
    private final ServerListRequester listRequester;
    private final ServerTable servers;
    private final RingPlacement placement;
    private final ServerRanking ranking;
    private final SlowStart slowStart;
    private final DemandEstimator demand = new DemandEstimator();
    private final LocalityRouting locality;
    private final ConnectionFailureTracker connectionFailures;
    private final SlotPool pool;
    private final ServerCostEstimator costs;
    private final CallTable calls;
    private final UsableCapacity usableCapacity;
    private final OutlierDetector outliers;
    private final FleetAdviceInForce advice;
    private final ConcurrencyLimiter limiter;
    private final CascadeGuard cascadeGuard;
    private final CrowdingMonitor crowding;
    private final RequestClassTable requestClasses = new RequestClassTable();
    private final TenantQuota quota = new TenantQuota();
    private final RetryBudget retryBudget = new RetryBudget();
    private final InFlightCalls inFlight = new InFlightCalls();
    private final MaintenanceTable maintenance = new MaintenanceTable();
    private final ServerNameMemory names = new ServerNameMemory();
    private final SaturationReport report;
    private final BalancerActions host;
    private double nextRefill;

    /** A balancer that knows its settings and nothing else; it acts through {@code host}. */
    public LoadBalancer(BalancerSettings settings, long seed, BalancerActions host) {
        this.host = host;
        this.report = new SaturationReport(host);
        Supplier<BalancerSettings> current = () -> this.settings;
        this.listRequester = new ServerListRequester(current, host, seed);
        this.servers = new ServerTable(current);
        this.placement = new RingPlacement(current, servers);
        this.ranking = new ServerRanking(current, servers);
        this.slowStart = new SlowStart(current, servers, ranking);
        this.locality = new LocalityRouting(current);
        this.connectionFailures = new ConnectionFailureTracker(current);
        SlotOrder order = new SlotOrder(locality, connectionFailures);
        this.pool = new SlotPool(host, order, ranking, slowStart, locality);
        this.costs = new ServerCostEstimator(pool, slowStart);
        this.calls = new CallTable(current, host);
        this.usableCapacity = new UsableCapacity(servers);
        this.outliers =
                new OutlierDetector(
                        current,
                        servers,
                        pool,
                        usableCapacity,
                        connectionFailures,
                        new StalledAttemptCanceller(current, host, calls),
                        report);
        this.advice = new FleetAdviceInForce(servers, outliers);
        this.limiter =
                new ConcurrencyLimiter(current, servers, requestClasses, inFlight, usableCapacity);
        this.cascadeGuard = new CascadeGuard(current, servers, ranking, limiter);
        this.crowding = new CrowdingMonitor(limiter, locality, outliers);
        use(settings);
        listRequester.start();
    }

    @Override
    public void onSettings(double now, BalancerSettings changed) {
        tick(now);
        use(changed);
        relist(now);
    }

    private void use(BalancerSettings given) {
        settings = given;
        quota.useTenants(given.tenants());
        requestClasses.useClasses(given.classes());
    }

    /** How many requests are in hand: not answered yet, or answered with an attempt still out. */
    public int openCalls() {
        return calls.size();
    }

    /**
     * How many calls may be out at once before the first tier turns more away; for whoever watches
     * it.
     */
    public double limit() {
        return limiter.usableLimit();
    }

    // ---- a request comes: taken or turned away ----

    @Override
    public void onRequest(double now, Request request) {
        check(request);
        tick(now);
        RequestClass kind = settings.classes().get(request.requestClass());
        CallRecord call =
                new CallRecord(
                        now,
                        request,
                        kind,
                        requestClasses.latencyOf(kind),
                        settings.limits().tries());
        calls.add(call);
        demand.recordCall(call.latency.baseMs());
        retryBudget.onRequest();
        call.withinQuota =
                settings.tier() > 0
                        || quota.tryAcquire(
                                now, request.tenant(), advice.get(), settings.balancers());
        call.staged = advice.isStagedCall(request.id());
        if (!limiter.admits(now, call)) {
            limiter.onRejected(now, call);
            report.recordRejectedCall();
            calls.answerUnserved(call);
        } else if (!place(now, call)) {
            calls.answerUnserved(call);
        }
    }

    /** What a host may get wrong is refused by name, before anything is done. */
    private void check(Request request) {
        int classes = settings.classes().size();
        String wrong =
                request.requestClass() < 0 || request.requestClass() >= classes
                        ? "of class "
                                + request.requestClass()
                                + ", but the settings have "
                                + classes
                        : request.tenant() < 0
                                        || request.tenant()
                                                >= Math.max(1, settings.tenants().size())
                                ? "of tenant "
                                        + request.tenant()
                                        + ", but the settings have "
                                        + settings.tenants().size()
                                : calls.contains(request.id()) ? "in hand already" : null;
        if (wrong != null) {
            throw new IllegalArgumentException("request " + request.id() + " is " + wrong);
        }
    }

    // ---- the ordinary path: the lowest-ranked free slot ----

    /** Sends a call to the lowest-ranked free slot it may use; false if there is none. */
    private boolean place(double now, CallRecord call) {
        Slot picked = pool.findFirst(slot -> mayUse(now, call, slot, true));
        Slot best =
                picked != null ? picked : pool.findFirst(slot -> mayUse(now, call, slot, false));
        if (best == null) {
            return false;
        }
        if (best.server.spare == best) {
            pool.adopt(now, best);
        }
        send(now, call, best);
        return true;
    }

    private boolean mayUse(double now, CallRecord call, Slot slot, boolean picky) {
        TrackedServer target = slot.server;
        if (!slowStart.admits(now, slot)
                || call.attempts.isEmpty() && cascadeGuard.blocks(slot)
                || !call.mayRepeatAt(target)) {
            return false;
        }
        // A call that cannot be tried again must not be the one to find out whether a server is
        // well.
        boolean risky =
                (target.onProbation || target.nextCallDue)
                        && call.requestClass.effect() == Idempotency.ONCE
                        && requestClasses.hasRepeatableClass();
        return !picky
                || !risky
                        && target.staged == (call.staged && call.attempts.isEmpty())
                        && !call.hasTried(target);
    }

    private void send(double now, CallRecord call, Slot slot) {
        double left = call.usefulUntilMs - now;
        double timeout = left;
        ClassLatencyEstimator known = call.latency;
        // A hung server must not eat the whole of a call's time while another could still serve it.
        if (call.requestClass.effect() != Idempotency.ONCE
                && call.attempts.size() + 1 < call.maxAttempts) {
            double patience =
                    Math.max(known.tailMs() * PATIENCE, settings.limits().connectTimeoutMs());
            if (left - patience > known.typicalMs()) {
                timeout = patience;
            }
        }
        Attempt attempt = new Attempt(slot, now, timeout);
        call.attempts.add(attempt);
        call.attemptsInFlight++;
        slot.busy = true;
        if (slot.server.nextCallDue) {
            slot.server.nextCallDue = false;
            costs.updateRanks(now, slot.server);
        }
        slot.server.inFlight++;
        inFlight.onStart();
        host.send(call.request.id(), slot.server.id, timeout);
    }

    // ---- an attempt ends ----

    @Override
    public void onFinished(double now, AttemptResult finished) {
        tick(now);
        CallRecord call = calls.get(finished.request());
        if (call == null
                || finished.attempt() >= call.attempts.size()
                || !call.attempts.get(finished.attempt()).isInFlight()) {
            return;
        }
        Attempt attempt = call.attempts.get(finished.attempt());
        call.endAttempt(attempt, finished.outcome());
        limiter.onAttemptEnd(now, finished.tookMs());
        learn(now, call, attempt, finished);
        crowding.onAttemptEnd(now, call, attempt, finished);
        release(now, call, attempt, finished);
        if (finished.concluded()) {
            call.answered = true;
        } else if (!call.answered
                && !(mayRetry(now, call, finished.outcome()) && place(now, call))) {
            calls.answerUnserved(call);
        }
        calls.removeIfFinished(call);
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt) {
        tick(now);
        CallRecord call = calls.get(request);
        if (call != null && !call.answered && attempt < call.attempts.size()) {
            call.answered = true;
            // Its work is done. Its slot is not free, but who is slow to read must not keep others
            // out.
            call.attempts.get(attempt).slot.streaming = true;
            inFlight.onEnd();
        }
    }

    @Override
    public void onClientGone(double now, String request) {
        tick(now);
        CallRecord call = calls.get(request);
        if (call == null) {
            return;
        }
        call.answered = true;
        // Nobody waits for these attempts any more: work that has not begun need not be done.
        for (int i = 0; i < call.attempts.size() && settings.limits().cancel(); i++) {
            if (call.attempts.get(i).isInFlight()) {
                host.cancel(request, i);
            }
        }
        calls.removeIfFinished(call);
    }

    private boolean mayRetry(double now, CallRecord call, AttemptOutcome outcome) {
        double left = call.usefulUntilMs - now;
        // Retries feed on themselves when all is slow, and multiply from tier to tier: they have a
        // budget.
        if (call.attemptsInFlight > 0
                || call.attempts.size() >= call.maxAttempts
                || outcome == AttemptOutcome.IGNORED
                || left < call.latency.typicalMs() / 2
                || retryBudget.isExhausted()
                || call.firstPossibleRun != null
                        && (call.requestClass.effect() == Idempotency.ONCE
                                || call.requestClass.effect() == Idempotency.BY_KEY
                                        && now - call.firstPossibleRun.sentAtMs
                                                >= call.requestClass.repeatableForMs())) {
            return false;
        }
        retryBudget.withdraw();
        return true;
    }

    private void learn(double now, CallRecord call, Attempt attempt, AttemptResult finished) {
        ClassLatencyEstimator known = call.latency;
        TrackedServer target = attempt.slot.server;
        double took = finished.tookMs();
        boolean ok = finished.outcome() == AttemptOutcome.OK;
        if (!ok && finished.outcome() != AttemptOutcome.TIMED_OUT) {
            return;
        }
        known.recordAttempt(took, call.requestClass.deadlineMs());
        costs.recordAttempt(now, target, took, known.typicalMs());
        if (ok) {
            known.recordAnswer(took);
        }
    }

    // ---- slots, and the servers' health ----

    private void release(double now, CallRecord call, Attempt attempt, AttemptResult finished) {
        Slot slot = attempt.slot;
        TrackedServer target = slot.server;
        slot.busy = false;
        target.inFlight--;
        if (!slot.streaming) {
            inFlight.onEnd();
        }
        slot.streaming = false;
        outliers.onAttemptEnd(now, call, attempt, finished);
        if (slot.discarded && target.pooledSlots == 0 && target.inFlight == 0) {
            host.disconnect(target.id);
            forgetGone(target);
        }
    }

    private double refillPause() {
        return settings.limits().connectTimeoutMs() / 2;
    }

    /** What Boxcar does in the background: refill toward lower ranks, a pause between tries. */
    private void tick(double now) {
        if (now < nextRefill) {
            return;
        }
        nextRefill = now + refillPause();
        double elapsedFraction = demand.update(now, refillPause());
        locality.update(elapsedFraction, demand.usualCalls());
        usableCapacity.refresh();
        advice.expire(now);
        connectionFailures.decay();
        report.writeIfDue(now, settings.tier(), limiter.limit(), servers.ready());
        outliers.endPauses(now);
        slowStart
                .warmingUp()
                .forEach(
                        target -> {
                            costs.updateRanksIfMoved(now, target);
                            pool.offerSpare(now, target);
                        });
        slowStart.removeWarm(now);
        double size = SlotPool.targetSize(inFlight.peak());
        inFlight.decayPeak();
        pool.refill(now, size);
    }

    // ---- the list ----

    @Override
    public void onServers(double now, ServerListKind kind, List<Server> entries) {
        if (kind == ServerListKind.FAILED) {
            listRequester.onRequestFailed();
            return;
        }
        listRequester.onListReceived();
        if (kind == ServerListKind.DELTA && entries.isEmpty()) {
            return;
        }
        if (kind != ServerListKind.DELTA) {
            Set<String> named = entries.stream().map(Server::id).collect(Collectors.toSet());
            for (TrackedServer target : List.copyOf(servers.all())) {
                if (!named.contains(target.id)) {
                    update(
                            now,
                            target.announced.as(ServerState.GONE, target.announced.startedMs()));
                }
            }
        }
        entries.forEach(entry -> update(now, entry));
        relist(now);
    }

    /** Takes stock of the servers that may be used, once some have changed. */
    private void relist(double now) {
        usableCapacity.markStale();
        servers.refreshReady();
        locality.useServers(servers.ready());
        limiter.onServersChanged();
        placement.assignPositions();
        pool.updateRanks();
        servers.ready().forEach(target -> pool.offerSpare(now, target));
    }

    @Override
    public void onMaintenance(double now, String server, boolean out) {
        tick(now);
        if (maintenance.set(now, server, out)) {
            TrackedServer target = servers.get(server);
            if (target != null) {
                target.nextCallDue = !out;
                update(now, target.announced);
                relist(now);
            }
        }
    }

    @Override
    public void onGuidance(double now, FleetAdvice given) {
        advice.apply(now, given);
    }

    /** Whether a list has ever named a server. */
    public boolean hasNamed(String server) {
        return names.contains(server);
    }

    private void update(double now, Server told) {
        names.add(told.id());
        Server entry = maintenance.apply(told);
        TrackedServer target = servers.get(entry.id());
        if (target == null) {
            if (entry.state() == ServerState.GONE) {
                return;
            }
            target = new TrackedServer(entry);
            servers.add(target);
        } else if (entry.startedMs() != target.entry.startedMs()) {
            // A new process: what its forerunner did no longer counts, and it is cold.
            target.resetBehavior();
            pool.discardAllButLastOf(target);
        }
        target.entry = entry;
        target.announced = told;
        target.staged = advice.isStaged(target);
        slowStart.track(now, target);
        if (entry.state() != ServerState.READY) {
            pool.discardAllOf(target);
        }
        costs.updateRanks(now, target);
        forgetGone(target);
    }

    private void forgetGone(TrackedServer target) {
        if (target.entry.state() == ServerState.GONE && target.inFlight == 0) {
            servers.remove(target);
            outliers.forget(target);
            slowStart.forget(target);
        }
    }

    // ---- asking for the list ----

    @Override
    public void onTimer(double now, long name) {
        tick(now);
        listRequester.onTimer(name);
    }
}
