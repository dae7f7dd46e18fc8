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

    /**
     * A server silent for so many of its usual gaps hangs: at random gaps that is 2 in 100 by
     * chance.
     */
    private static final double HANG_GAPS = 4;

    /** The share of the pool's bound kept for calls of more worth. */
    private static final double RESERVE = 0.2;

    /**
     * Calls at the first tier that are beyond their tenant's allowance get this part of the pool's
     * limit.
     */
    private static final double BEYOND_SHARE = 0.6;

    /**
     * For so long after a call within its share was turned away, none beyond its share is taken.
     */
    private static final double SHARE_FIRST_MS = 1000;

    /**
     * Beyond a class's base time, answers should take this part of what the aim leaves, on average:
     * the rest is for the slow ones among them, for the time until a cut shows, and for bursts.
     */
    private static final double COMFORT = 0.2;

    /** The part of it left where the limit is small, and the limit from which all of it counts. */
    private static final double LEAST_COMFORT = 0.5;

    private static final double AMPLE_LIMIT = 3;

    /** Weight of a new outcome in the pressure, and what a crowded pool's limit is cut to. */
    private static final double PRESSURE_GAIN = 1.0 / 16;

    private static final double CUT = 0.85;

    /** The limit grows so much faster while answers take less than half of what is comfortable. */
    private static final double AMPLE_GROWTH = 2;

    /**
     * Calls a server, over all balancers, that the limit stays above: some must show when all is
     * well.
     */
    private static final double LEAST_CALLS = 0.5;

    /**
     * While answers are slow, no server may hold more than this multiple of what the limit stands
     * for.
     */
    private static final double CASCADE = 2;

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
    private final RequestClassTable requestClasses = new RequestClassTable();
    private final TenantQuota quota = new TenantQuota();
    private final RetryBudget retryBudget = new RetryBudget();
    private final InFlightCalls inFlight = new InFlightCalls();
    private final MaintenanceTable maintenance = new MaintenanceTable();
    private final ServerNameMemory names = new ServerNameMemory();
    private final SaturationReport report;
    private final BalancerActions host;

    /** When an attempt last ended, and how long it took. */
    private double lastEnd;

    private double lastTook;
    private double nextRefill;

    /**
     * How many calls may be out at once before the first tier turns more away; learned from
     * outcomes.
     */
    private double limit;

    /**
     * What outcomes took beyond the base time, as a part of what the aim leaves, on recent average.
     */
    private double pressure;

    /** When the limit was last cut: only calls sent after that tell what the cut has done. */
    private double lastCut = Double.NEGATIVE_INFINITY;

    private double quickUntil;

    /**
     * The weight of the listed servers that the limit is for, and the part of them that can be used
     * now.
     */
    private double limitFor;

    /** When a call within its tenant's share was last turned away by the limit. */
    private double shareTurnedAway = Double.NEGATIVE_INFINITY;

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
        return limit * usableCapacity.fraction();
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
        if (!admits(now, call)) {
            shareTurnedAway = call.withinQuota ? now : shareTurnedAway;
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

    /**
     * Admission control: whether the limit has room for a call. Lower tiers do not shed: a call
     * there carries work done above.
     */
    private boolean admits(double now, CallRecord call) {
        if (settings.tier() > 0) {
            return inFlight.count() < SlotPool.MAX_SLOTS;
        }
        double most = limit * usableCapacity.fraction() * part(call);
        if (call.withinQuota) {
            return most >= 1
                    ? inFlight.count() < most
                    : inFlight.count() == 0 && now >= pacedUntil(most);
        }
        // Where the limit is one or two calls, a flood would take it all again and again: it must
        // fit well.
        return now - shareTurnedAway >= SHARE_FIRST_MS && inFlight.count() < most - 0.5;
    }

    /**
     * A limit below one call is a pace: so long a pause after the last call that on average no more
     * than that part of a call is out. Where balancers outnumber what servers can hold, one each is
     * too many.
     */
    private double pacedUntil(double most) {
        return lastEnd + lastTook * (1 / most - 1);
    }

    /** The part of what there is that a call may use: the last of it is for calls of more worth. */
    private double part(CallRecord call) {
        return (call.withinQuota ? 1 : BEYOND_SHARE)
                * (1 - RESERVE * (1 - call.requestClass.worth() / requestClasses.maxValue()));
    }

    /**
     * Moves the limit by an outcome: down while answers take too much of the aim, else slowly up.
     */
    private void judgeCrowding(
            double now, CallRecord call, Attempt attempt, AttemptResult finished) {
        TrackedServer target = attempt.slot.server;
        double base = call.latency.baseMs();
        if (finished.outcome() == AttemptOutcome.OK) {
            target.recordAnswer(now);
        } else if (finished.outcome() == AttemptOutcome.TIMED_OUT && hangs(now, target)) {
            return;
        }
        double ratio =
                switch (finished.outcome()) {
                    case OK, TIMED_OUT ->
                            Math.max(
                                    0,
                                    Math.min(
                                            2,
                                            (finished.tookMs() - base)
                                                    / Math.max(
                                                            call.requestClass.aimMs() - base,
                                                            call.requestClass.aimMs() / 4)));
                    case QUEUE_FULL -> 1;
                    default -> pressure;
                };
        locality.recordPressure(target, ratio);
        if (attempt.sentAtMs < lastCut) {
            // It tells of what was before the cut, which has been answered for by that.
            return;
        }
        // A balancer with few calls at once has few answers a second: each must then tell more.
        pressure += Math.max(PRESSURE_GAIN, 1 / (2 + 2 * limit)) * (ratio - pressure);
        if (pressure > comfort()) {
            limit =
                    Math.max(
                            LEAST_CALLS * growth(),
                            Math.min(limit, (inFlight.peak() + 1) / usableCapacity.fraction())
                                    * CUT);
            lastCut = now;
            pressure = comfort() / 2;
        } else if (finished.outcome() == AttemptOutcome.OK
                && inFlight.count() * 2 >= limit * usableCapacity.fraction()) {
            boolean ample = pressure < comfort() / 2;
            double step =
                    (ample && limit < quickUntil
                                    ? 1
                                    : (ample ? AMPLE_GROWTH : 1)
                                            / (limit * usableCapacity.fraction()))
                            * growth()
                            / usableCapacity.fraction();
            limit = Math.min(SlotPool.MAX_SLOTS, limit + Math.min(limit, step));
        }
    }

    /**
     * Guards against a limit that one hung server takes down: a crowded server answers late, a hung
     * one not at all, and fewer calls help only the first. If many are silent, they are crowded
     * after all.
     */
    private boolean hangs(double now, TrackedServer target) {
        return target.answerGapMs > 0
                && now - target.lastAnswerAtMs > HANG_GAPS * target.answerGapMs
                && !outliers.hasSharedCause(AttemptOutcome.TIMED_OUT);
    }

    /**
     * Where the limit is a call or two, answers are few and tell late what a change has done, and
     * one call more is a large step: such balancers keep further from the edge.
     */
    private double comfort() {
        return COMFORT * Math.max(LEAST_COMFORT, Math.min(1, limit / AMPLE_LIMIT));
    }

    /**
     * This balancer's part of one call a server, at most one call. Balancers that all change their
     * limits at once thus move the fleet by one call a server and round of answers, however many
     * they are.
     */
    private double growth() {
        return Math.min(1, (double) servers.ready().size() / settings.balancers());
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

    /**
     * Guards against a cascade: calls that leave a server crowded by all must not crowd the next.
     * While answers are slow no server may hold many more calls, over all balancers, than the limit
     * stands for.
     */
    private boolean crowds(Slot slot) {
        return settings.tier() == 0
                && pressure > comfort() / 2
                && ranking.baseRank(slot)
                        >= Math.max(
                                InitialServerLoad.CALLS_AT_WORK,
                                CASCADE
                                        * Math.max(1, limit)
                                        * settings.balancers()
                                        / servers.ready().size());
    }

    private boolean mayUse(double now, CallRecord call, Slot slot, boolean picky) {
        TrackedServer target = slot.server;
        if (!slowStart.admits(now, slot)
                || call.attempts.isEmpty() && crowds(slot)
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
        lastEnd = now;
        lastTook = finished.tookMs();
        learn(now, call, attempt, finished);
        judgeCrowding(now, call, attempt, finished);
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
        report.writeIfDue(now, settings.tier(), limit, servers.ready());
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
        double size = servers.readyCapacity();
        if (limitFor == 0) {
            limit =
                    Math.min(
                            SlotPool.MAX_SLOTS,
                            Math.max(
                                    1,
                                    InitialServerLoad.callsInFlight(settings)
                                            * servers.ready().size()
                                            / settings.balancers()));
            quickUntil = limit;
            limitFor = size;
        } else if (size > 0) {
            // The limit is for what the list names: it goes down and up with that.
            limit =
                    Math.min(
                            SlotPool.MAX_SLOTS,
                            Math.max(LEAST_CALLS * growth(), limit * size / limitFor));
            quickUntil *= size / limitFor;
            limitFor = size;
        }
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
