package poppynotch.balancer;

import java.util.List;

/**
 * A client-side load balancer modelled on Boxcar: a bounded pool of ranked slots on servers. Each
 * call takes the free slot with the lowest rank; a failed attempt discards its slot, and the call
 * is retried on the next one within limits; a full pool rejects calls, as there is no queue.
 *
 * <p>This class passes the host's events to the classes that own the state. All actions go through
 * {@link BalancerActions}. It is not thread-safe: the host calls it from one thread, and passes the
 * time with each event.
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

    // Estimators and server health.
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

    // Calls and their limits.
    private final CallTable calls;
    private final CallDispatcher dispatcher;
    private final AttemptCompletion completion;
    private final ConcurrencyLimiter limiter;
    private final TenantQuota quota = new TenantQuota();
    private final RetryBudget retryBudget = new RetryBudget();
    private final RetryPolicy retryPolicy;
    private final BalancerActions host;

    /**
     * Creates a balancer without servers.
     *
     * @param initial the initial settings
     * @param seed seed of the random delays of requests for the server list
     * @param host carries out the actions
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

        applySettings(initial);
        listRequester.start();
    }

    /** The number of calls without a final response or with an attempt still in flight. */
    public int openCalls() {
        return calls.size();
    }

    /** The limit on calls in flight, above which a balancer of the first tier rejects calls. */
    public double limit() {
        return limiter.usableLimit();
    }

    /** Whether a list has ever named a server. */
    public boolean wasListed(String server) {
        return servers.hasNamed(server);
    }

    // ---- settings, lists, operators, fleet ----

    @Override
    public void onSettings(double nowMs, BalancerSettings newSettings) {
        runBackgroundTasks(nowMs);
        applySettings(newSettings);
        readyServers.refresh(nowMs);
    }

    private void applySettings(BalancerSettings newSettings) {
        settings.set(newSettings);
        quota.useTenants(newSettings.tenants());
        requestClasses.useClasses(newSettings.classes());
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
    public void onTimer(double nowMs, long timerId) {
        runBackgroundTasks(nowMs);
        listRequester.onTimer(timerId);
    }

    @Override
    public void onMaintenance(double nowMs, String server, boolean inMaintenance) {
        runBackgroundTasks(nowMs);
        listUpdater.setMaintenance(nowMs, server, inMaintenance);
    }

    @Override
    public void onFleetAdvice(double nowMs, FleetAdvice newAdvice) {
        advice.apply(nowMs, newAdvice);
    }

    // ---- calls ----

    /**
     * Sends a request to a server, or rejects it.
     *
     * @throws IllegalArgumentException if the settings lack the class or the tenant, or a request
     *     with this ID is open; the balancer is then unchanged
     */
    @Override
    public void onRequest(double nowMs, Request request) {
        check(request);
        runBackgroundTasks(nowMs);
        CallRecord call = accept(nowMs, request);
        if (!limiter.admits(nowMs, call)) {
            limiter.onRejected(nowMs, call);
            report.recordRejectedCall();
            calls.rejectOrFail(call);
        } else if (!dispatcher.tryDispatch(nowMs, call)) {
            calls.rejectOrFail(call);
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
            call.concluded = true;
        } else if (!call.concluded && !tryRetry(nowMs, call, result.outcome())) {
            calls.rejectOrFail(call);
        }
        calls.removeIfFinished(call);
    }

    private boolean tryRetry(double nowMs, CallRecord call, AttemptOutcome lastOutcome) {
        return retryPolicy.tryRetry(nowMs, call, lastOutcome)
                && dispatcher.tryDispatch(nowMs, call);
    }

    @Override
    public void onStreamStarted(double nowMs, String request, int attempt) {
        runBackgroundTasks(nowMs);
        CallRecord call = calls.get(request);
        if (call != null && !call.concluded && attempt < call.attempts.size()) {
            call.concluded = true;
            // The server's work is done: the slot stays busy, but a client that reads slowly must
            // not keep other calls out.
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
        call.concluded = true;
        // No client waits for these attempts: work on them that has not begun can be skipped.
        for (int i = 0; i < call.attempts.size() && settings.get().limits().mayCancel(); i++) {
            if (call.attempts.get(i).isInFlight()) {
                host.cancel(request, i);
            }
        }
        calls.removeIfFinished(call);
    }

    // ---- background tasks ----

    /** Runs periodic updates, as part of an event and at most once per refill interval. */
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
            costs.updateRanksIfChanged(nowMs, server);
            pool.offerSpare(nowMs, server);
        }
        slowStart.removeWarm(nowMs);
    }
}
