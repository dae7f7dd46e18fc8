package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates the calls that independent balancers together send to a warming server: servers have
 * one or more cores and a queue, arrivals are random, and some balancers get three times the calls
 * of others.
 */
class SlowStartFleetTest {

    private static final int SERVERS = 10;
    private static final double WORK_MS = 50;
    private static final double WARM_UP_MS = 8000;
    private static final double INITIAL_WARMTH = 0.3;
    private static final double WINDOW_MS = 1500;
    private static final double START_MS = 1_000_000;
    private static final double RESTART_AT_MS = START_MS + 20_000;
    private static final double END_AT_MS = RESTART_AT_MS + WARM_UP_MS;

    private record Event(double atMs, Runnable action) {}

    /** A server whose cores execute one call each at a time, and are slower while it warms up. */
    private final class SimulatedServer {
        final Deque<Runnable> waiting = new ArrayDeque<>();

        /** The arrival times of calls since it started. */
        final List<Double> arrivalsMs = new ArrayList<>();

        int busy;
        double startedMs;

        double warmth() {
            return startedMs == 0
                    ? 1
                    : Math.min(
                            1,
                            INITIAL_WARMTH
                                    + (1 - INITIAL_WARMTH) * (nowMs - startedMs) / WARM_UP_MS);
        }

        void serve(Runnable done) {
            if (busy == cores) {
                waiting.add(done);
                return;
            }
            busy++;
            double workMs = -WORK_MS * Math.log(1 - random.nextDouble());
            schedule(
                    nowMs + workMs / warmth(),
                    () -> {
                        busy--;
                        done.run();
                        if (!waiting.isEmpty()) {
                            serve(waiting.poll());
                        }
                    });
        }
    }

    private final SplittableRandom random = new SplittableRandom(11);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final SimulatedServer[] servers = new SimulatedServer[SERVERS];
    private double nowMs = START_MS;
    private int cores;
    private int requests;

    private void schedule(double atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    /** One balancer, whose attempts go to the servers. */
    private final class Balancer implements BalancerActions {
        final LoadBalancer loadBalancer;
        final double callsPerMs;

        Balancer(BalancerSettings settings, double callsPerMs) {
            loadBalancer = new LoadBalancer(settings, settings.ownIndex(), this);
            this.callsPerMs = callsPerMs;
            loadBalancer.onServerList(nowMs, ServerListKind.FULL, list(0, 0));
            arrive();
        }

        void arrive() {
            // The rate of calls rises by half when the server starts.
            double factor = nowMs >= RESTART_AT_MS ? 1.5 : 1;
            schedule(
                    nowMs - Math.log(1 - random.nextDouble()) / (callsPerMs * factor),
                    () -> {
                        String id = "r" + requests++;
                        loadBalancer.onRequest(
                                nowMs, new Request(id, Fixture.REPEATABLE, 0, nowMs + 3000, false));
                        arrive();
                    });
        }

        @Override
        public void send(String request, String server, double timeoutMs) {
            int number = Integer.parseInt(server.substring(1));
            if (servers[number].startedMs > 0) {
                servers[number].arrivalsMs.add(nowMs);
            }
            double sentAtMs = nowMs;
            servers[number].serve(
                    () ->
                            loadBalancer.onAttemptFinished(
                                    nowMs,
                                    new AttemptResult(
                                            request,
                                            0,
                                            server,
                                            AttemptOutcome.OK,
                                            nowMs - sentAtMs,
                                            true,
                                            LoadReport.NONE)));
        }

        @Override
        public void reject(String request, double coolDownMs) {
            // Rejected by a limit: the call arrives at no server.
        }

        @Override
        public void fail(String request) {
            throw new AssertionError("no call fails here");
        }

        @Override
        public void cancel(String request, int attempt) {
            // The server still executes the call: the worst case for the server.
        }

        @Override
        public void startTimer(double delayMs, long timerId) {
            // The test supplies the lists.
        }

        @Override
        public void closeIdleConnections(String server) {
            // There are no connections here.
        }

        @Override
        public void subscribe() {
            // The test supplies the lists.
        }

        @Override
        public void log(String line) {
            // Log lines are not checked.
        }
    }

    private static List<Server> list(int restarted, double startedMs) {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(Fixture.server("s" + i, 0, i < restarted ? startedMs : 0, ServerState.READY));
        }
        return list;
    }

    /**
     * Guards against balancers that each keep their part of a warming server's budget, but exceed
     * it together: in no window may more than N + 2 x sqrt(N) + 2 calls arrive, where N is the
     * number that the settings allow the server then, and the rest is for random variation. One or
     * six of the ten servers start at once, and the load rises by half at that time.
     */
    @ParameterizedTest
    @CsvSource({
        "3,2,4,1",
        "20,2,4,1",
        "30,2,4,1",
        "100,2,4,1",
        "3,2,2.5,6",
        "20,2,2.5,6",
        "30,2,2.5,6",
        "100,2,2.5,6",
        "3,1,2.5,1",
        "20,1,2.5,1",
        "30,1,2.5,1",
        "100,1,2.5,1",
        "3,4,2.5,6",
        "20,4,2.5,6",
        "30,4,2.5,6",
        "100,4,2.5,6",
        "3,1,1.5,6",
        "20,1,1.5,6",
        "30,1,1.5,6",
        "100,1,1.5,6"
    })
    void balancersTogetherStayWithinWarmingServersBudget(
            int balancers, int coresPerServer, double overloadMultiple, int restarted) {
        cores = coresPerServer;
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = new SimulatedServer();
        }
        BalancerSettings one = Fixture.settings(1, 0, 1, true);
        double fleetCallsPerMs = 0.6 * SERVERS * cores / WORK_MS;
        List<Balancer> fleet = new ArrayList<>();
        for (int index = 0; index < balancers; index++) {
            // One of every three balancers has three times the calls.
            double callsPerMs = fleetCallsPerMs / balancers * (index % 3 == 0 ? 1.8 : 0.6);
            fleet.add(
                    new Balancer(
                            new BalancerSettings(
                                    balancers,
                                    index,
                                    0,
                                    1,
                                    2,
                                    false,
                                    false,
                                    0.1,
                                    0,
                                    one.classes(),
                                    one.tenants(),
                                    one.limits(),
                                    new ServerRules(
                                            INITIAL_WARMTH,
                                            WARM_UP_MS,
                                            overloadMultiple,
                                            WINDOW_MS,
                                            1000,
                                            10_000)),
                            callsPerMs));
        }
        schedule(
                RESTART_AT_MS,
                () -> {
                    for (int i = 0; i < restarted; i++) {
                        servers[i].startedMs = nowMs;
                    }
                    fleet.forEach(
                            balancer ->
                                    balancer.loadBalancer.onServerList(
                                            nowMs, ServerListKind.FULL, list(restarted, nowMs)));
                });
        while (events.peek().atMs() < END_AT_MS) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        for (int i = 0; i < restarted; i++) {
            List<Double> arrivalsMs = servers[i].arrivalsMs;
            for (int from = 0, to = 0; to < arrivalsMs.size(); to++) {
                while (arrivalsMs.get(from) < arrivalsMs.get(to) - WINDOW_MS) {
                    from++;
                }
                double elapsedMs = Math.max(0, arrivalsMs.get(to) - WINDOW_MS - RESTART_AT_MS);
                double warmth = INITIAL_WARMTH + (1 - INITIAL_WARMTH) * elapsedMs / WARM_UP_MS;
                double budget = overloadMultiple * warmth * cores / WORK_MS * WINDOW_MS;
                double maxCalls = budget + 2 * Math.sqrt(budget) + 2;
                assertTrue(
                        to - from + 1 <= maxCalls,
                        (to - from + 1) + " calls of " + maxCalls + " in a window");
            }
            assertTrue(
                    arrivalsMs.size() > WARM_UP_MS * fleetCallsPerMs / SERVERS / 6,
                    "calls at the warming server: " + arrivalsMs.size());
        }
    }
}
