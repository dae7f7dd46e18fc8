package poppynotch.balancer;

import java.util.List;

/**
 * A client-side load balancer after Boxcar: a bounded pool of ranked slots on servers. Every call
 * takes the free slot of the lowest rank; a failed attempt discards its slot, and the call goes on
 * to the next best one within bounds; a full pool rejects calls, it has no queue.
 *
 * <p>This class receives the host's events and passes each to the classes that own the state. All
 * its actions go through {@link BalancerActions}. It is not thread-safe: its host calls it from one
 * thread, and time comes with the events.
 */
public final class LoadBalancer implements BalancerEvents {

    private final CurrentSettings settings;
    private double nextRefillMs;

    // Servers and the slots on them.
    private final ServerTable servers;
    private final ServerListRequester listRequester;
    private final ServerListUpdater listUpdater;
    private final ReadyServersRefresher readyServers;
    private final FleetAdviceInForce advice;
    private final SlotPool pool;

    // What is learned.
    private final RequestClassTable requestClasses = new RequestClassTable();
    private final DemandEstimator demand = new DemandEstimator();
    private final InFlightCalls inFlight = new InFlightCalls();
    private final SlowStart slowStart;
    private final LocalityRouting locality;
    private final ConnectionFailureTracker connectionFailures;
    private final ServerCostEstimator costs;
    private final UsableCapacity usableCapacity;
    private final OutlierDetector outliers;
    private final SaturationReport report;

    // Calls and what bounds them.
    private final CallTable calls;
    private final CallDispatcher dispatcher;
    private final AttemptCompletion completion;
    private final ConcurrencyLimiter limiter;
    private final TenantQuota quota = new TenantQuota();
    private final RetryBudget retryBudget = new RetryBudget();
    private final RetryPolicy retryPolicy;
    private final BalancerActions host;

    /**
     * A balancer that knows its settings and no servers yet.
     *
     * @param initial the settings in force from the start
     * @param seed of the random times at which it asks for the list
     * @param host carries its actions out
     */
    public LoadBalancer(BalancerSettings initial, long seed, BalancerActions host) {
        this.host = host;
        settings = new CurrentSettings(initial);
        report = new SaturationReport(host);
        calls = new CallTable(settings, host);
        servers = new ServerTable(settings);
        ServerRanking ranking = new ServerRanking(settings, servers);
        slowStart = new SlowStart(settings, servers, ranking);
        locality = new LocalityRouting(settings);
        connectionFailures = new ConnectionFailureTracker(settings);
        SlotOrder order = new SlotOrder(locality, connectionFailures);
        pool = new SlotPool(host, order, ranking, slowStart, locality);
        costs = new ServerCostEstimator(pool, slowStart);

        usableCapacity = new UsableCapacity(servers);
        StalledAttemptCanceller canceller = new StalledAttemptCanceller(settings, host, calls);
        outliers =
                new OutlierDetector(
                        settings,
                        servers,
                        pool,
                        usableCapacity,
                        connectionFailures,
                        canceller,
                        report);
        advice = new FleetAdviceInForce(servers, outliers);
        limiter =
                new ConcurrencyLimiter(settings, servers, requestClasses, inFlight, usableCapacity);

        RingPlacement placement = new RingPlacement(settings, servers);
        ServerRemover remover = new ServerRemover(servers, outliers, slowStart);
        MaintenanceTable maintenance = new MaintenanceTable();
        ServerUpdater updater =
                new ServerUpdater(servers, maintenance, advice, pool, costs, slowStart, remover);
        readyServers =
                new ReadyServersRefresher(
                        servers, usableCapacity, locality, limiter, placement, pool);
        listUpdater = new ServerListUpdater(servers, maintenance, updater, readyServers);
        listRequester = new ServerListRequester(settings, host, seed);

        CascadeGuard cascadeGuard = new CascadeGuard(settings, servers, ranking, limiter);
        SlotSelector selector = new SlotSelector(pool, slowStart, cascadeGuard, requestClasses);
        retryPolicy = new RetryPolicy(settings, retryBudget);
        dispatcher = new CallDispatcher(host, selector, pool, retryPolicy, costs, inFlight);
        CongestionMonitor congestion = new CongestionMonitor(limiter, locality, outliers);
        completion =
                new AttemptCompletion(
                        host, limiter, costs, congestion, outliers, inFlight, remover);

        useSettings(initial);
        listRequester.start();
    }

    /** The calls that are not answered yet, or answered with an attempt still in flight. */
    public int openCalls() {
        return calls.size();
    }

    /** How many calls may be in flight at once before the first tier rejects more. */
    public double limit() {
        return limiter.usableLimit();
    }

    /** Whether a list has ever named a server. */
    public boolean wasListed(String server) {
        return servers.hasNamed(server);
    }

    // ---- settings, lists, operators, fleet ----

    @Override
    public void onSettings(double nowMs, BalancerSettings changed) {
        runBackgroundTasks(nowMs);
        useSettings(changed);
        readyServers.refresh(nowMs);
    }

    private void useSettings(BalancerSettings changed) {
        settings.set(changed);
        quota.useTenants(changed.tenants());
        requestClasses.useClasses(changed.classes());
    }

    @Override
    public void onServerList(double nowMs, ServerListKind kind, List<Server> entries) {
        if (kind == ServerListKind.FAILED) {
            listRequester.onRequestFailed();
        } else {
            listRequester.onListReceived();
            listUpdater.apply(nowMs, kind, entries);
        }
    }

    @Override
    public void onTimer(double nowMs, long name) {
        runBackgroundTasks(nowMs);
        listRequester.onTimer(name);
    }

    @Override
    public void onMaintenance(double nowMs, String server, boolean inMaintenance) {
        runBackgroundTasks(nowMs);
        listUpdater.setMaintenance(nowMs, server, inMaintenance);
    }

    @Override
    public void onFleetAdvice(double nowMs, FleetAdvice given) {
        advice.apply(nowMs, given);
    }

    // ---- calls ----

    /**
     * Sends a request to a server, or rejects it.
     *
     * @throws IllegalArgumentException for a class or tenant that the settings do not have, or a
     *     request that is in hand already; nothing is done then
     */
    @Override
    public void onRequest(double nowMs, Request request) {
        check(request);
        runBackgroundTasks(nowMs);
        CallRecord call = accept(nowMs, request);
        if (!limiter.admits(nowMs, call)) {
            limiter.onRejected(nowMs, call);
            report.recordRejectedCall();
            calls.answerUnserved(call);
        } else if (!dispatcher.tryDispatch(nowMs, call)) {
            calls.answerUnserved(call);
        }
    }

    private CallRecord accept(double nowMs, Request request) {
        RequestClass requestClass = settings.get().classes().get(request.requestClass());
        ClassLatencyEstimator latency = requestClasses.latencyOf(requestClass);
        CallRecord call =
                new CallRecord(
                        nowMs,
                        request,
                        requestClass,
                        latency,
                        settings.get().limits().maxAttempts());
        calls.add(call);
        demand.recordCall(latency.baseMs());
        retryBudget.onRequest();
        call.withinQuota =
                settings.get().tier() > 0
                        || quota.tryAcquire(
                                nowMs, request.tenant(), advice.get(), settings.get().balancers());
        call.staged = advice.isStagedCall(request.id());
        return call;
    }

    private void check(Request request) {
        int classes = settings.get().classes().size();
        if (request.requestClass() < 0 || request.requestClass() >= classes) {
            throw invalid(
                    request,
                    "of class " + request.requestClass() + ", but the settings have " + classes);
        }
        int tenants = settings.get().tenants().size();
        if (request.tenant() < 0 || request.tenant() >= Math.max(1, tenants)) {
            throw invalid(
                    request,
                    "of tenant " + request.tenant() + ", but the settings have " + tenants);
        }
        if (calls.contains(request.id())) {
            throw invalid(request, "in hand already");
        }
    }

    private static IllegalArgumentException invalid(Request request, String reason) {
        return new IllegalArgumentException("request " + request.id() + " is " + reason);
    }

    @Override
    public void onAttemptFinished(double nowMs, AttemptResult result) {
        runBackgroundTasks(nowMs);
        CallRecord call = calls.get(result.request());
        if (call == null
                || result.attempt() >= call.attempts.size()
                || !call.attempts.get(result.attempt()).isInFlight()) {
            return;
        }
        completion.complete(nowMs, call, call.attempts.get(result.attempt()), result);
        if (result.concluded()) {
            call.answered = true;
        } else if (!call.answered && !tryAgain(nowMs, call, result.outcome())) {
            calls.answerUnserved(call);
        }
        calls.removeIfFinished(call);
    }

    private boolean tryAgain(double nowMs, CallRecord call, AttemptOutcome lastOutcome) {
        return retryPolicy.tryRetry(nowMs, call, lastOutcome)
                && dispatcher.tryDispatch(nowMs, call);
    }

    @Override
    public void onStreamStarted(double nowMs, String request, int attempt) {
        runBackgroundTasks(nowMs);
        CallRecord call = calls.get(request);
        if (call != null && !call.answered && attempt < call.attempts.size()) {
            call.answered = true;
            // Its work is done. Its slot is not free, but a client that is slow to read must not
            // keep others out.
            call.attempts.get(attempt).slot.streaming = true;
            inFlight.onEnd();
        }
    }

    @Override
    public void onClientGone(double nowMs, String request) {
        runBackgroundTasks(nowMs);
        CallRecord call = calls.get(request);
        if (call == null) {
            return;
        }
        call.answered = true;
        // Nobody waits for these attempts any more: work that has not begun need not be done.
        for (int i = 0; i < call.attempts.size() && settings.get().limits().mayCancel(); i++) {
            if (call.attempts.get(i).isInFlight()) {
                host.cancel(request, i);
            }
        }
        calls.removeIfFinished(call);
    }

    // ---- background tasks ----

    /** What happens between calls, at most once in a refill interval and with an event only. */
    private void runBackgroundTasks(double nowMs) {
        if (nowMs < nextRefillMs) {
            return;
        }
        double refillIntervalMs = settings.get().limits().connectTimeoutMs() / 2;
        nextRefillMs = nowMs + refillIntervalMs;
        double elapsedFraction = demand.update(nowMs, refillIntervalMs);
        locality.update(elapsedFraction, demand.usualCalls());
        usableCapacity.refresh();
        advice.expire(nowMs);
        connectionFailures.decay();
        report.writeIfDue(nowMs, settings.get().tier(), limiter.limit(), servers.ready());
        outliers.endPauses(nowMs);
        updateWarmingServers(nowMs);
        double size = SlotPool.targetSize(inFlight.peak());
        inFlight.decayPeak();
        pool.refill(nowMs, size);
    }

    private void updateWarmingServers(double nowMs) {
        for (TrackedServer server : slowStart.warmingUp()) {
            costs.updateRanksIfMoved(nowMs, server);
            pool.offerSpare(nowMs, server);
        }
        slowStart.removeWarm(nowMs);
    }
}
