package poppynotch.lab.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.AttemptResult;
import poppynotch.balancer.BalancerActions;
import poppynotch.balancer.BalancerEvents;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.DeduplicationScope;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.Request;
import poppynotch.balancer.RequestClass;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerListKind;
import poppynotch.balancer.ServerState;

/**
 * A textbook balancer to compare with: picks among the servers listed as ready, retries on other
 * servers where the class allows it, and has no concurrency limit. Called by its host, one event at
 * a time.
 */
abstract class Baseline implements BalancerEvents {

    private static final long LIST_REQUEST_TIMER = 1;

    /** After a failed call discovery is asked again within this part of the time to ask within. */
    private static final double LIST_RETRY_FRACTION = 0.05;

    private static final class Call {
        final Request request;
        final RequestClass kind;
        final List<Server> tried = new ArrayList<>(2);
        Server mayHaveRun;
        double mayHaveRunSince;
        double sentAt;
        boolean over;

        Call(Request request, RequestClass kind) {
            this.request = request;
            this.kind = kind;
        }
    }

    final SplittableRandom random;
    private final BalancerActions host;
    private BalancerSettings settings;
    private final Map<String, Server> listed = new TreeMap<>();
    private final List<Server> ready = new ArrayList<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final Map<String, Boolean> maintenance = new HashMap<>();

    Baseline(BalancerSettings settings, long seed, BalancerActions host) {
        this.settings = settings;
        this.host = host;
        random = new SplittableRandom(seed);
        if (settings.mustRequestList()) {
            host.startTimer(
                    random.nextDouble() * settings.rules().listRequestWithinMs() / 2,
                    LIST_REQUEST_TIMER);
        }
    }

    /** One of the candidates, of which there is one at least. */
    abstract Server pick(List<Server> candidates);

    int inFlight(Server server) {
        return inFlight.getOrDefault(server.id(), 0);
    }

    @Override
    public void onServerList(double now, ServerListKind kind, List<Server> entries) {
        if (kind == ServerListKind.FAILED) {
            host.startTimer(
                    random.nextDouble()
                            * settings.rules().listRequestWithinMs()
                            * LIST_RETRY_FRACTION,
                    LIST_REQUEST_TIMER);
            return;
        }
        if (kind != ServerListKind.DELTA) {
            listed.clear();
        }
        for (Server entry : entries) {
            if (entry.state() == ServerState.GONE) {
                listed.remove(entry.id());
            } else {
                listed.put(entry.id(), entry);
            }
        }
        rebuildReadyServers();
    }

    private void rebuildReadyServers() {
        ready.clear();
        listed.values().stream()
                .filter(s -> s.state() == ServerState.READY && !maintenance.containsKey(s.id()))
                .forEach(ready::add);
    }

    @Override
    public void onSettings(double now, BalancerSettings changed) {
        settings = changed;
    }

    @Override
    public void onMaintenance(double now, String server, boolean out) {
        if (out) {
            maintenance.put(server, true);
        } else {
            maintenance.remove(server);
        }
        rebuildReadyServers();
    }

    @Override
    public void onRequest(double now, Request request) {
        Call call = new Call(request, settings.classes().get(request.requestClass()));
        calls.put(request.id(), call);
        if (!sendToCandidate(now, call)) {
            rejectOrFail(call);
        }
    }

    private boolean sendToCandidate(double now, Call call) {
        List<Server> candidates = new ArrayList<>(ready.size());
        for (Server server : ready) {
            if (!call.tried.contains(server) && isAllowed(call, server)) {
                candidates.add(server);
            }
        }
        if (candidates.isEmpty() || now >= call.request.deadlineMs()) {
            return false;
        }
        Server server = pick(candidates);
        call.tried.add(server);
        call.sentAt = now;
        inFlight.merge(server.id(), 1, Integer::sum);
        host.send(call.request.id(), server.id(), 0);
        return true;
    }

    private static boolean isAllowed(Call call, Server server) {
        if (call.mayHaveRun == null
                || call.kind.idempotency() == Idempotency.REPEATABLE
                || call.kind.deduplicationScope() == DeduplicationScope.ALL) {
            return true;
        }
        return call.kind.deduplicationScope() == DeduplicationScope.ZONE
                ? call.mayHaveRun.zone() == server.zone()
                : call.mayHaveRun.cell() == server.cell();
    }

    @Override
    public void onAttemptFinished(double now, AttemptResult finished) {
        inFlight.merge(finished.server(), -1, Integer::sum);
        Call call = calls.get(finished.request());
        if (call == null) {
            return;
        }
        if (!finished.outcome().neverRan() && call.mayHaveRun == null) {
            call.mayHaveRun = call.tried.get(call.tried.size() - 1);
            call.mayHaveRunSince = call.sentAt;
        }
        if (finished.concluded() || call.over) {
            calls.remove(finished.request());
        } else if (!(mayRetry(now, call, finished.outcome()) && sendToCandidate(now, call))) {
            rejectOrFail(call);
        }
    }

    private boolean mayRetry(double now, Call call, AttemptOutcome outcome) {
        if (call.tried.size() >= settings.limits().maxAttempts()
                || outcome == AttemptOutcome.IGNORED) {
            return false;
        }
        return call.mayHaveRun == null
                || call.kind.idempotency() == Idempotency.REPEATABLE
                || (call.kind.idempotency() == Idempotency.BY_KEY
                        && now - call.mayHaveRunSince < call.kind.deduplicationWindowMs());
    }

    private void rejectOrFail(Call call) {
        calls.remove(call.request.id());
        boolean harmless =
                call.mayHaveRun == null
                        || call.kind.idempotency() == Idempotency.REPEATABLE
                        || (call.kind.idempotency() == Idempotency.BY_KEY
                                && call.kind.deduplicationScope() == DeduplicationScope.ALL);
        if (harmless) {
            host.reject(call.request.id(), 0);
        } else {
            host.fail(call.request.id());
        }
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt) {
        // Nothing is learned from it.
    }

    @Override
    public void onClientGone(double now, String request) {
        Call call = calls.get(request);
        if (call != null) {
            call.over = true;
            if (settings.limits().mayCancel() && !call.tried.isEmpty()) {
                host.cancel(request, call.tried.size() - 1);
            }
        }
    }

    @Override
    public void onTimer(double now, long name) {
        host.subscribe();
    }
}
