package poppynotch.balancer;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
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
     * An error after this part of an attempt's time is a late one: servers that are sick fail
     * quickly.
     */
    private static final double LATE_ERROR = 0.5;

    /** The most doublings of a failing server's pause. */
    private static final int MOST_DOUBLINGS = 5;

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

    /**
     * A server's slowness from which it lags behind others, and a long time-out's part of a call's
     * time.
     */
    private static final double LAGGING = 2;

    private static final double LONG_TIME_OUT = 0.9;

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
    private final RequestClassTable requestClasses = new RequestClassTable();
    private final TenantQuota quota = new TenantQuota();
    private final RetryBudget retryBudget = new RetryBudget();
    private final InFlightCalls inFlight = new InFlightCalls();
    private final MaintenanceTable maintenance = new MaintenanceTable();
    private final ServerNameMemory names = new ServerNameMemory();
    private final SaturationReport report;
    private final BalancerActions host;
    private final Map<String, CallRecord> calls = new LinkedHashMap<>();
    private final Set<TrackedServer> paused = new LinkedHashSet<>();

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

    private double usable = 1;

    /**
     * A server has come on trial or off it, or the list is another, since that part was worked out.
     */
    private boolean usableStale;

    /** When a call within its tenant's share was last turned away by the limit. */
    private double shareTurnedAway = Double.NEGATIVE_INFINITY;

    private FleetAdvice guidance = FleetAdvice.NONE;

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
        return limit * usable;
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
        calls.put(request.id(), call);
        demand.recordCall(call.latency.baseMs());
        retryBudget.onRequest();
        call.withinQuota =
                settings.tier() > 0
                        || quota.tryAcquire(now, request.tenant(), guidance, settings.balancers());
        // By the call's name: a small part is as small over all balancers, however few calls each
        // has.
        call.staged = guidance.part() > 0 && StableHash.of(request.id()) < guidance.part() * 0x1p32;
        if (!admits(now, call)) {
            shareTurnedAway = call.withinQuota ? now : shareTurnedAway;
            report.recordRejectedCall();
            answer(call);
        } else if (!place(now, call)) {
            answer(call);
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
                                : calls.containsKey(request.id()) ? "in hand already" : null;
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
        double most = limit * usable * part(call);
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
                            Math.min(limit, (inFlight.peak() + 1) / usable) * CUT);
            lastCut = now;
            pressure = comfort() / 2;
        } else if (finished.outcome() == AttemptOutcome.OK
                && inFlight.count() * 2 >= limit * usable) {
            boolean ample = pressure < comfort() / 2;
            double step =
                    (ample && limit < quickUntil
                                    ? 1
                                    : (ample ? AMPLE_GROWTH : 1) / (limit * usable))
                            * growth()
                            / usable;
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
                && !blamedOnShared(AttemptOutcome.TIMED_OUT);
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

    /**
     * The final answer of a call that cannot be served: a refusal where that is true, else a
     * failure.
     */
    private void answer(CallRecord call) {
        call.answered = true;
        if (call.isSafeToResend()) {
            // The cool-down is told also where few clients are said to heed it: it costs nothing.
            host.refuse(call.request.id(), settings.limits().maxCoolDownMs() / 4);
        } else {
            host.fail(call.request.id());
        }
        forget(call);
    }

    private void forget(CallRecord call) {
        if (call.isFinished()) {
            calls.remove(call.request.id());
        }
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
        release(now, attempt.slot, finished.outcome(), isFailure(call, attempt, finished));
        if (finished.concluded()) {
            call.answered = true;
        } else if (!call.answered
                && !(mayRetry(now, call, finished.outcome()) && place(now, call))) {
            answer(call);
        }
        forget(call);
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
        forget(call);
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

    /**
     * Whether an outcome speaks against the server: a time-out does only if it was a long one, and
     * an error only if it came early. Late ones are of calls behind it that ran out of the time
     * they were given. Where time-outs are many, the learned tail passes the time that calls have:
     * a server that lags behind others is then judged by that time.
     */
    private boolean isFailure(CallRecord call, Attempt attempt, AttemptResult finished) {
        return switch (finished.outcome()) {
            case CONNECT_ERROR, RESET -> true;
            case FAILED -> finished.tookMs() < attempt.timeoutMs * LATE_ERROR;
            case TIMED_OUT ->
                    finished.tookMs() >= call.latency.tailMs()
                            || attempt.slot.server.slowness > LAGGING
                                    && finished.tookMs()
                                            >= call.requestClass.aimMs()
                                                    * CallRecord.USEFUL_TARGET_FRACTION
                                                    * LONG_TIME_OUT;
            default -> false;
        };
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

    private void release(double now, Slot slot, AttemptOutcome outcome, boolean failed) {
        TrackedServer target = slot.server;
        slot.busy = false;
        target.inFlight--;
        if (!slot.streaming) {
            inFlight.onEnd();
        }
        slot.streaming = false;
        boolean alive = learnConnection(slot, outcome);
        if (alive) {
            pool.discard(slot);
            pause(now, target, settings.limits().connectTimeoutMs() * 2);
        } else if (failed && !blamedOnShared(outcome)) {
            strike(now, target, outcome);
            pool.discard(slot);
        } else if (outcome == AttemptOutcome.OK) {
            // Only an answer shows that a server is well: one that hangs ends calls too, by
            // time-outs.
            recover(now, target);
        } else if (outcome == AttemptOutcome.FAILED) {
            pool.discard(slot);
            pool.offerSpare(now, target);
        }
        if (outcome == AttemptOutcome.QUEUE_FULL) {
            report.recordFullServer();
            // It is crowded, not sick: the slot is discarded, and no other taken there for a while.
            pool.discard(slot);
            pause(now, target, settings.limits().connectTimeoutMs());
        }
        if (slot.discarded && target.pooledSlots == 0 && target.inFlight == 0) {
            host.disconnect(target.id);
            forgetGone(target);
        }
    }

    /**
     * Keeps what a slot's connection is like. True if only the connect failed: other connections to
     * the server stand, so the first such failure says nothing of the server itself.
     */
    private boolean learnConnection(Slot slot, AttemptOutcome outcome) {
        connectionFailures.recordAttempt(slot, outcome);
        if (outcome == AttemptOutcome.OK) {
            slot.server.connectFailed = false;
        }
        if (outcome != AttemptOutcome.CONNECT_ERROR || slot.server.connectFailed) {
            return false;
        }
        slot.server.connectFailed =
                pool.slotsOf(slot.server).stream().anyMatch(s -> s != slot && s.connected);
        return slot.server.connectFailed;
    }

    /**
     * When half of all servers look bad, something they share is: giving them up would leave none.
     * Servers that cannot be reached share less than those that err or are slow, a zone at most:
     * each kind counts alone.
     */
    private boolean blamedOnShared(AttemptOutcome outcome) {
        boolean unreachable = outcome == AttemptOutcome.CONNECT_ERROR;
        long bad =
                servers.ready().stream()
                        .filter(t -> t.onProbation && t.unreachable == unreachable)
                        .count();
        return bad * 2 > servers.ready().size();
    }

    /**
     * A failure: the server pauses, longer each time; at the second in a row it loses all its
     * slots.
     */
    private void strike(double now, TrackedServer target, AttemptOutcome outcome) {
        target.unreachable = outcome == AttemptOutcome.CONNECT_ERROR;
        target.failureLevel = Math.min(target.failureLevel + 1, MOST_DOUBLINGS);
        target.probationAnswers = 0;
        if (!target.onProbation) {
            target.onProbation = true;
            usableStale = true;
            report.recordEjection();
        }
        pause(now, target, settings.limits().connectTimeoutMs() * (1 << target.failureLevel));
        if (target.failureLevel > 1) {
            pool.discardAllOf(target);
        }
        if (target.unreachable && settings.limits().cancel()) {
            calls.values().forEach(call -> leaveSilent(now, call, target));
        }
    }

    /**
     * Where connects fail and nothing was answered since, a call that has waited goes elsewhere.
     */
    private void leaveSilent(double now, CallRecord call, TrackedServer target) {
        int last = call.attempts.size() - 1;
        Attempt attempt =
                call.attemptsInFlight == 0 || call.answered ? null : call.attempts.get(last);
        if (attempt != null
                && attempt.slot.server == target
                && target.lastAnswerAtMs < attempt.sentAtMs
                && call.requestClass.effect() != Idempotency.ONCE
                && now - attempt.sentAtMs >= call.latency.typicalMs()) {
            host.cancel(call.request.id(), last);
        }
    }

    private void pause(double now, TrackedServer target, double ms) {
        paused.add(target);
        target.pausedUntilMs = Math.max(target.pausedUntilMs, now + ms);
        pool.offerSpare(now, target);
    }

    private void recover(double now, TrackedServer target) {
        if (!target.onProbation) {
            target.failureLevel = 0;
            return;
        }
        if (++target.probationAnswers >= 1 << Math.min(target.failureLevel, 3)) {
            usableStale = true;
            target.onProbation = false;
            target.failureLevel /= 2;
            pool.offerSpare(now, target);
        }
    }

    /**
     * Learns what part of the listed servers can be used. Those left over must not get the calls of
     * all until answers show that they are crowded: where servers slow down when crowded, that is
     * too late.
     */
    private void learnUsable() {
        if (!usableStale) {
            return;
        }
        usableStale = false;
        double inUse =
                servers.ready().stream()
                        .mapToDouble(t -> t.onProbation ? 0 : servers.relativeWeight(t))
                        .sum();
        usable = servers.ready().size() == 0 ? 1 : Math.max(1, inUse) / servers.ready().size();
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
        learnUsable();
        if (now >= guidance.untilMs() && guidance != FleetAdvice.NONE) {
            onGuidance(now, FleetAdvice.NONE);
        }
        connectionFailures.decay();
        report.writeIfDue(now, settings.tier(), limit, servers.ready());
        List<TrackedServer> rested =
                paused.stream().filter(target -> target.pausedUntilMs <= now).toList();
        paused.removeAll(rested);
        rested.forEach(target -> pool.offerSpare(now, target));
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
        usableStale = true;
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
        guidance = given;
        servers.all().forEach(target -> target.staged = given.staged().contains(target.id));
        // On trial for as long as it is advised, and until it has answered. Not where most look bad
        // already.
        for (TrackedServer target : servers.ready()) {
            if (given.ailing().contains(target.id) && !blamedOnShared(AttemptOutcome.FAILED)) {
                target.failureLevel = 1;
                strike(now, target, AttemptOutcome.FAILED);
                pause(now, target, given.untilMs() - now);
            }
        }
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
        target.staged = guidance.staged().contains(target.id);
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
            paused.remove(target);
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
