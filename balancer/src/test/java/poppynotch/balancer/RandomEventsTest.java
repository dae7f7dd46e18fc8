package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Feeds random events; a host checks the rules by the actions alone, without the balancer's state.
 */
class RandomEventsTest {

    /** A request as the host sees it. */
    private static final class ObservedCall {
        final int kind;
        final double deadlineMs;
        final List<String> servers = new ArrayList<>();
        final List<Double> sentAt = new ArrayList<>();
        final List<AttemptOutcome> ends = new ArrayList<>();
        boolean over;

        ObservedCall(int kind, double deadlineMs) {
            this.kind = kind;
            this.deadlineMs = deadlineMs;
        }

        /** The first attempt that is in flight or may have run; -1 if there is none. */
        int firstPossibleRun() {
            for (int i = 0; i < ends.size(); i++) {
                if (ends.get(i) == null || !ends.get(i).neverRan()) {
                    return i;
                }
            }
            return -1;
        }

        int inFlight() {
            return (int) ends.stream().filter(e -> e == null).count();
        }
    }

    /** Checks every action as it comes. */
    private static final class RuleCheckingHost implements BalancerActions {
        final BalancerSettings settings;
        final Map<String, ObservedCall> calls = new HashMap<>();
        final Map<String, Server> listed = new HashMap<>();
        final List<Double> timers = new ArrayList<>();
        final List<Long> timerNames = new ArrayList<>();
        double now;
        int attemptsInFlight;

        RuleCheckingHost(BalancerSettings settings) {
            this.settings = settings;
        }

        @Override
        public void send(String request, String server, double timeoutMs) {
            ObservedCall call = calls.get(request);
            RequestClass kind = settings.classes().get(call.kind);
            assertFalse(call.over, "sent after its end: " + request);
            assertEquals(
                    ServerState.READY,
                    listed.get(server).state(),
                    "sent to a server that is not ready");
            assertTrue(timeoutMs <= call.deadlineMs - now + 1e-6, "outlasts the client");
            assertTrue(call.ends.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(
                    settings.limits().parallelAttempts() || call.inFlight() == 0,
                    "two attempts at once");
            int first = call.firstPossibleRun();
            if (first >= 0) {
                assertTrue(
                        kind.idempotency() != Idempotency.ONCE,
                        "a call that may have run was sent again");
                if (kind.idempotency() == Idempotency.BY_KEY) {
                    assertEquals(
                            listed.get(call.servers.get(first)).cell(),
                            listed.get(server).cell(),
                            "repeat outside the group");
                    assertTrue(
                            now - call.sentAt.get(first) < kind.deduplicationWindowMs(),
                            "repeat after the window");
                }
            }
            call.servers.add(server);
            call.sentAt.add(now);
            call.ends.add(null);
            attemptsInFlight++;
            assertTrue(attemptsInFlight <= 256, "more calls in flight than the pool has slots");
        }

        @Override
        public void reject(String request, double coolDownMs) {
            ObservedCall call = calls.get(request);
            assertTrue(
                    settings.classes().get(call.kind).idempotency() == Idempotency.REPEATABLE
                            || call.firstPossibleRun() < 0,
                    "rejected though it may have run");
            finish(call);
        }

        @Override
        public void fail(String request) {
            finish(calls.get(request));
        }

        private void finish(ObservedCall call) {
            assertFalse(call.over, "two final answers");
            assertTrue(now <= call.deadlineMs, "answered too late");
            call.over = true;
        }

        @Override
        public void cancel(String request, int attempt) {
            assertTrue(attempt < calls.get(request).ends.size(), "cancelled an attempt never made");
        }

        @Override
        public void startTimer(double inMs, long name) {
            timers.add(now + inMs);
            timerNames.add(name);
        }

        @Override
        public void closeIdleConnections(String server) {
            assertTrue(listed.containsKey(server));
        }

        @Override
        public void subscribe() {}

        @Override
        public void log(String line) {}
    }

    private static BalancerSettings settings(Random random) {
        return Fixture.settings(
                1 + random.nextInt(40),
                0,
                random.nextInt(2),
                random.nextBoolean(),
                new Tenant("a", 20, 0.5),
                new Tenant("b", 5, 0.5));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void keepsRulesUnderRandomEvents(int seed) {
        Random random = new Random(seed);
        BalancerSettings settings = settings(random);
        RuleCheckingHost host = new RuleCheckingHost(settings);
        host.now = 10_000;
        LoadBalancer balancer = new LoadBalancer(settings, seed, host);
        List<String> open = new ArrayList<>();
        int requests = 0;
        for (int step = 0; step < 4000; step++) {
            host.now += random.nextInt(12);
            fireTimers(host, balancer);
            endOverdue(host, balancer, open);
            int what = random.nextInt(20);
            if (what == 0 || step == 0) {
                changeList(host, balancer, random, step == 0);
            } else if (what < 9 && step < 3500) {
                String id = "q" + requests++;
                int kind = random.nextInt(settings.classes().size());
                double left = 1 + random.nextInt(3000);
                host.calls.put(id, new ObservedCall(kind, host.now + left));
                open.add(id);
                balancer.onRequest(
                        host.now,
                        new Request(
                                id,
                                kind,
                                settings.tenants().isEmpty() ? 0 : random.nextInt(2),
                                host.now + left,
                                false));
            } else if (what < 10 && !open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                host.calls.get(id).over = true;
                balancer.onClientGone(host.now, id);
            } else if (!open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                end(host, balancer, id, AttemptOutcome.values()[random.nextInt(8)]);
            }
            open.removeIf(id -> host.calls.get(id).over && host.calls.get(id).inFlight() == 0);
        }
        for (int i = 0; i < 400; i++) {
            host.now += 50;
            fireTimers(host, balancer);
            endOverdue(host, balancer, open);
            open.removeIf(id -> host.calls.get(id).over && host.calls.get(id).inFlight() == 0);
        }
        assertTrue(host.calls.values().stream().allMatch(c -> c.over), "a request was lost");
        assertTrue(open.isEmpty());
        assertEquals(0, host.attemptsInFlight);
        assertEquals(0, balancer.openCalls(), "state is left over");
    }

    private static void fireTimers(RuleCheckingHost host, LoadBalancer balancer) {
        for (int i = 0; i < host.timers.size(); i++) {
            if (host.timers.get(i) <= host.now) {
                host.timers.remove(i);
                balancer.onTimer(host.now, host.timerNames.remove(i));
                i = -1;
            }
        }
    }

    /**
     * The host cuts attempts off at the client's deadline, within the slack that the check allows.
     */
    private static void endOverdue(
            RuleCheckingHost host, LoadBalancer balancer, List<String> open) {
        for (String id : List.copyOf(open)) {
            ObservedCall call = host.calls.get(id);
            if (call.deadlineMs <= host.now + 15) {
                double now = host.now;
                host.now = Math.min(now, call.deadlineMs);
                while (call.inFlight() > 0) {
                    end(host, balancer, id, AttemptOutcome.TIMED_OUT);
                }
                host.now = now;
            }
        }
    }

    private static void end(
            RuleCheckingHost host, LoadBalancer balancer, String id, AttemptOutcome outcome) {
        ObservedCall call = host.calls.get(id);
        int attempt = call.ends.indexOf(null);
        if (attempt < 0) {
            return;
        }
        call.ends.set(attempt, outcome);
        host.attemptsInFlight--;
        boolean served = outcome == AttemptOutcome.OK && !call.over;
        boolean concluded = call.over || served;
        call.over |= served;
        balancer.onAttemptFinished(
                host.now,
                new AttemptResult(
                        id,
                        attempt,
                        call.servers.get(attempt),
                        outcome,
                        host.now - call.sentAt.get(attempt),
                        concluded,
                        LoadReport.NONE));
    }

    private static void changeList(
            RuleCheckingHost host, LoadBalancer balancer, Random random, boolean isFullList) {
        List<Server> changes = new ArrayList<>();
        for (int i = 0; i < (isFullList ? 12 : 2); i++) {
            String id = "s" + (isFullList ? i : random.nextInt(15));
            ServerState state =
                    isFullList ? ServerState.READY : ServerState.values()[random.nextInt(3)];
            double started = random.nextInt(4) == 0 ? host.now - random.nextInt(9000) : 0;
            int number = Integer.parseInt(id.substring(1));
            Server server = new Server(id, number % 2, 0, number % 4, started, state, 1);
            changes.add(server);
            host.listed.put(id, server);
        }
        balancer.onServerList(
                host.now, isFullList ? ServerListKind.CACHED : ServerListKind.DELTA, changes);
    }
}
