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
 * What balancers that share nothing send to a warming server together, call by call: servers of
 * some cores that do their calls in turn, clients that come at random, some balancers with three
 * times the calls of others.
 */
class SlowStartFleetTest {

    private static final int SERVERS = 10;
    private static final double WORK_MS = 50;
    private static final double WARM_UP_MS = 8000;
    private static final double INITIAL_WARMTH = 0.3;
    private static final double WINDOW_MS = 1500;
    private static final double START_MS = 1_000_000;
    private static final double RESTART_AT = START_MS + 20_000;
    private static final double END_AT = RESTART_AT + WARM_UP_MS;

    private record Event(double at, Runnable what) {}

    /** One server: so many cores, each with a call at a time; while it warms up, each is slower. */
    private final class SimulatedServer {
        final Deque<Runnable> waiting = new ArrayDeque<>();

        /** When calls arrived since it started. */
        final List<Double> arrivalsMs = new ArrayList<>();

        int busy;
        double startedMs;

        double warmth() {
            return startedMs == 0
                    ? 1
                    : Math.min(
                            1,
                            INITIAL_WARMTH + (1 - INITIAL_WARMTH) * (now - startedMs) / WARM_UP_MS);
        }

        void serve(Runnable done) {
            if (busy == cores) {
                waiting.add(done);
                return;
            }
            busy++;
            double work = -WORK_MS * Math.log(1 - random.nextDouble());
            at(
                    now + work / warmth(),
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
            new PriorityQueue<>(Comparator.comparingDouble(Event::at));
    private final SimulatedServer[] servers = new SimulatedServer[SERVERS];
    private double now = START_MS;
    private int cores;
    private int requests;

    private void at(double time, Runnable what) {
        events.add(new Event(time, what));
    }

    /** One balancer, whose attempts go to the servers. */
    private final class Balancer implements BalancerActions {
        final LoadBalancer loadBalancer;
        final double rate;

        Balancer(BalancerSettings settings, double rate) {
            loadBalancer = new LoadBalancer(settings, settings.ownIndex(), this);
            this.rate = rate;
            loadBalancer.onServerList(now, ServerListKind.FULL, list(0, 0));
            arrive();
        }

        void arrive() {
            // Half as much again, suddenly, as the server starts.
            double factor = now >= RESTART_AT ? 1.5 : 1;
            at(
                    now - Math.log(1 - random.nextDouble()) / (rate * factor),
                    () -> {
                        String id = "r" + requests++;
                        loadBalancer.onRequest(
                                now, new Request(id, Fixture.REPEATABLE, 0, now + 3000, false));
                        arrive();
                    });
        }

        @Override
        public void send(String request, String server, double timeoutMs) {
            int number = Integer.parseInt(server.substring(1));
            if (servers[number].startedMs > 0) {
                servers[number].arrivalsMs.add(now);
            }
            double sentAt = now;
            servers[number].serve(
                    () ->
                            loadBalancer.onAttemptFinished(
                                    now,
                                    new AttemptResult(
                                            request,
                                            0,
                                            server,
                                            AttemptOutcome.OK,
                                            now - sentAt,
                                            true,
                                            LoadReport.NONE)));
        }

        @Override
        public void reject(String request, double coolDownMs) {
            // Turned away by a limit: it arrivalsMs to no server.
        }

        @Override
        public void fail(String request) {
            throw new AssertionError("no call fails here");
        }

        @Override
        public void cancel(String request, int attempt) {
            // It is served all the same: the worst for the server.
        }

        @Override
        public void startTimer(double inMs, long name) {
            // Lists are given by hand.
        }

        @Override
        public void closeIdleConnections(String server) {
            // There are no connections here.
        }

        @Override
        public void subscribe() {
            // Lists are given by hand.
        }

        @Override
        public void log(String line) {
            // Nobody reads it.
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
     * Guards against a budget that each balancer keeps and all together pass: in no window may more
     * come than N, what the settings allow the server then, and 2 x root of N + 2 for chance. A
     * burst of half as much again comes as one server, or six of ten, start.
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
        double perMs = 0.6 * SERVERS * cores / WORK_MS;
        List<Balancer> fleet = new ArrayList<>();
        for (int own = 0; own < balancers; own++) {
            // Of three neighbours one has three times the calls.
            double rate = perMs / balancers * (own % 3 == 0 ? 1.8 : 0.6);
            fleet.add(
                    new Balancer(
                            new BalancerSettings(
                                    balancers,
                                    own,
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
                            rate));
        }
        at(
                RESTART_AT,
                () -> {
                    for (int i = 0; i < restarted; i++) {
                        servers[i].startedMs = now;
                    }
                    fleet.forEach(
                            balancer ->
                                    balancer.loadBalancer.onServerList(
                                            now, ServerListKind.FULL, list(restarted, now)));
                });
        while (events.peek().at() < END_AT) {
            Event next = events.poll();
            now = next.at();
            next.what().run();
        }
        for (int i = 0; i < restarted; i++) {
            List<Double> arrivalsMs = servers[i].arrivalsMs;
            for (int from = 0, to = 0; to < arrivalsMs.size(); to++) {
                while (arrivalsMs.get(from) < arrivalsMs.get(to) - WINDOW_MS) {
                    from++;
                }
                double begun = Math.max(0, arrivalsMs.get(to) - WINDOW_MS - RESTART_AT);
                double warmth = INITIAL_WARMTH + (1 - INITIAL_WARMTH) * begun / WARM_UP_MS;
                double budget = overloadMultiple * warmth * cores / WORK_MS * WINDOW_MS;
                double maxCalls = budget + 2 * Math.sqrt(budget) + 2;
                assertTrue(
                        to - from + 1 <= maxCalls,
                        (to - from + 1) + " calls of " + maxCalls + " in a window");
            }
            assertTrue(
                    arrivalsMs.size() > WARM_UP_MS * perMs / SERVERS / 6,
                    "it takes its part: " + arrivalsMs.size());
        }
    }
}
