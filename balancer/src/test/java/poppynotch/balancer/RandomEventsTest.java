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
 * Feeds random events to a balancer. The host checks the rules by the actions alone, without the
 * state of the balancer.
 */
class RandomEventsTest {

    /** A request as the host sees it. */
    private static final class ObservedCall {
        final int classIndex;
        final double deadlineMs;
        final List<String> servers = new ArrayList<>();
        final List<Double> sentAtMs = new ArrayList<>();
        final List<AttemptOutcome> ends = new ArrayList<>();
        boolean concluded;

        ObservedCall(int classIndex, double deadlineMs) {
            this.classIndex = classIndex;
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

    /** A host that checks every action against the rules. */
    private static final class RuleCheckingHost implements BalancerActions {
        final BalancerSettings settings;
        final Map<String, ObservedCall> calls = new HashMap<>();
        final Map<String, Server> listed = new HashMap<>();
        final List<Double> timersDueMs = new ArrayList<>();
        final List<Long> timerIds = new ArrayList<>();
        double nowMs;
        int attemptsInFlight;

        RuleCheckingHost(BalancerSettings settings) {
            this.settings = settings;
        }

        @Override
        public void send(String request, String server, double timeoutMs) {
            ObservedCall call = calls.get(request);
            RequestClass requestClass = settings.classes().get(call.classIndex);
            assertFalse(call.concluded, "attempt sent after the final response of " + request);
            assertEquals(
                    ServerState.READY,
                    listed.get(server).state(),
                    "sent to a server that is not ready");
            assertTrue(
                    timeoutMs <= call.deadlineMs - nowMs + 1e-6,
                    "timeout is after the client's deadline");
            assertTrue(call.ends.size() < settings.limits().maxAttempts(), "too many attempts");
            assertTrue(
                    settings.limits().parallelAttempts() || call.inFlight() == 0,
                    "two attempts at once");
            int first = call.firstPossibleRun();
            if (first >= 0) {
                assertTrue(
                        requestClass.idempotency() != Idempotency.ONCE,
                        "a call that may have run was sent again");
                if (requestClass.idempotency() == Idempotency.BY_KEY) {
                    assertEquals(
                            listed.get(call.servers.get(first)).cell(),
                            listed.get(server).cell(),
                            "repeated outside the deduplication scope");
                    assertTrue(
                            nowMs - call.sentAtMs.get(first) < requestClass.deduplicationWindowMs(),
                            "repeated after the deduplication window");
                }
            }
            call.servers.add(server);
            call.sentAtMs.add(nowMs);
            call.ends.add(null);
            attemptsInFlight++;
            assertTrue(attemptsInFlight <= 256, "more calls in flight than the pool has slots");
        }

        @Override
        public void reject(String request, double coolDownMs) {
            ObservedCall call = calls.get(request);
            assertTrue(
                    settings.classes().get(call.classIndex).idempotency() == Idempotency.REPEATABLE
                            || call.firstPossibleRun() < 0,
                    "rejected though it may have run");
            finish(call);
        }

        @Override
        public void fail(String request) {
            finish(calls.get(request));
        }

        private void finish(ObservedCall call) {
            assertFalse(call.concluded, "two final responses");
            assertTrue(nowMs <= call.deadlineMs, "final response after the deadline");
            call.concluded = true;
        }

        @Override
        public void cancel(String request, int attempt) {
            assertTrue(attempt < calls.get(request).ends.size(), "cancelled an attempt never made");
        }

        @Override
        public void startTimer(double delayMs, long timerId) {
            timersDueMs.add(nowMs + delayMs);
            timerIds.add(timerId);
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
        host.nowMs = 10_000;
        LoadBalancer balancer = new LoadBalancer(settings, seed, host);
        List<String> open = new ArrayList<>();
        int requests = 0;
        for (int step = 0; step < 4000; step++) {
            host.nowMs += random.nextInt(12);
            fireTimers(host, balancer);
            endOverdue(host, balancer, open);
            int choice = random.nextInt(20);
            if (choice == 0 || step == 0) {
                changeList(host, balancer, random, step == 0);
            } else if (choice < 9 && step < 3500) {
                String id = "q" + requests++;
                int classIndex = random.nextInt(settings.classes().size());
                double left = 1 + random.nextInt(3000);
                host.calls.put(id, new ObservedCall(classIndex, host.nowMs + left));
                open.add(id);
                balancer.onRequest(
                        host.nowMs,
                        new Request(
                                id,
                                classIndex,
                                settings.tenants().isEmpty() ? 0 : random.nextInt(2),
                                host.nowMs + left,
                                false));
            } else if (choice < 10 && !open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                host.calls.get(id).concluded = true;
                balancer.onClientGone(host.nowMs, id);
            } else if (!open.isEmpty()) {
                String id = open.get(random.nextInt(open.size()));
                end(host, balancer, id, AttemptOutcome.values()[random.nextInt(8)]);
            }
            open.removeIf(id -> host.calls.get(id).concluded && host.calls.get(id).inFlight() == 0);
        }
        for (int i = 0; i < 400; i++) {
            host.nowMs += 50;
            fireTimers(host, balancer);
            endOverdue(host, balancer, open);
            open.removeIf(id -> host.calls.get(id).concluded && host.calls.get(id).inFlight() == 0);
        }
        assertTrue(
                host.calls.values().stream().allMatch(c -> c.concluded),
                "a request has no final response");
        assertTrue(open.isEmpty());
        assertEquals(0, host.attemptsInFlight);
        assertEquals(0, balancer.openCalls(), "open calls are left");
    }

    private static void fireTimers(RuleCheckingHost host, LoadBalancer balancer) {
        for (int i = 0; i < host.timersDueMs.size(); i++) {
            if (host.timersDueMs.get(i) <= host.nowMs) {
                host.timersDueMs.remove(i);
                balancer.onTimer(host.nowMs, host.timerIds.remove(i));
                i = -1;
            }
        }
    }

    /**
     * Times out the attempts of calls whose deadline has passed or is at most 15 ms away. For that,
     * the clock is set back to a deadline that has passed: a host would end them at the deadline.
     */
    private static void endOverdue(
            RuleCheckingHost host, LoadBalancer balancer, List<String> open) {
        for (String id : List.copyOf(open)) {
            ObservedCall call = host.calls.get(id);
            if (call.deadlineMs <= host.nowMs + 15) {
                double nowMs = host.nowMs;
                host.nowMs = Math.min(nowMs, call.deadlineMs);
                while (call.inFlight() > 0) {
                    end(host, balancer, id, AttemptOutcome.TIMED_OUT);
                }
                host.nowMs = nowMs;
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
        boolean served = outcome == AttemptOutcome.OK && !call.concluded;
        boolean concluded = call.concluded || served;
        call.concluded |= served;
        balancer.onAttemptFinished(
                host.nowMs,
                new AttemptResult(
                        id,
                        attempt,
                        call.servers.get(attempt),
                        outcome,
                        host.nowMs - call.sentAtMs.get(attempt),
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
            double started = random.nextInt(4) == 0 ? host.nowMs - random.nextInt(9000) : 0;
            int number = Integer.parseInt(id.substring(1));
            Server server = new Server(id, number % 2, 0, number % 4, started, state, 1);
            changes.add(server);
            host.listed.put(id, server);
        }
        balancer.onServerList(
                host.nowMs, isFullList ? ServerListKind.CACHED : ServerListKind.DELTA, changes);
    }
}
