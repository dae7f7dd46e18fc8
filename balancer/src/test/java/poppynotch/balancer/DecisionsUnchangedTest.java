package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares every decision of the balancer bit by bit with those of an earlier version. A seeded
 * driver feeds thousands of events of all kinds; one digest per seed covers all actions with their
 * exact arguments, and the limit and the number of open calls after every event. Only a change that
 * is meant to alter decisions may replace the digests.
 */
class DecisionsUnchangedTest {

    private static final double START_MS = 1_000_000;
    private static final int EVENTS = 12_000;
    private static final int NAMES_BEYOND_MEMORY = 5000;

    /** How a simulated server responds to attempts. */
    private enum Behavior {
        HEALTHY,
        SLOW,
        HUNG,
        FAILS_EARLY,
        FAILS_LATE,
        UNREACHABLE,
        CONNECTS_HALF,
        RESETS,
        FULL,
        ANY
    }

    /** A simulated server. */
    private static final class SimulatedServer {
        final String id;
        Server listed;
        Behavior behavior = Behavior.HEALTHY;
        int inFlight;

        SimulatedServer(Server listed) {
            this.id = listed.id();
            this.listed = listed;
        }
    }

    /** A request as its client sees it. */
    private static final class ClientCall {
        final Request request;
        final RequestClass requestClass;
        final List<String> servers = new ArrayList<>();
        final List<Double> sentAtMs = new ArrayList<>();
        final List<Boolean> ended = new ArrayList<>();
        boolean concluded;

        ClientCall(Request request, RequestClass requestClass) {
            this.request = request;
            this.requestClass = requestClass;
        }
    }

    /** A scheduled event; events at equal times run in the order in which they were scheduled. */
    private record Event(double atMs, long order, Runnable action) {}

    /** Drives one balancer and digests its actions. */
    private static final class Driver implements BalancerActions {
        private final Random random;
        private final MessageDigest digest;
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
        private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
        private final Map<String, ClientCall> calls = new LinkedHashMap<>();
        private final Set<String> inMaintenance = new LinkedHashSet<>();
        private final LoadBalancer balancer;
        private final int serverCount;

        /** Whether settings, loads and lists vary more. */
        private final boolean varied;

        private BalancerSettings settings;
        private double nowMs = START_MS;
        private double serviceMs = 40;
        private double gapMs;
        private double usualGapMs;
        private long scheduled;
        private int requests;

        Driver(int seed, int serverCount, int balancers, int tier, double gapMs, boolean varied)
                throws NoSuchAlgorithmException {
            random = new Random(seed);
            digest = MessageDigest.getInstance("SHA-256");
            this.serverCount = serverCount;
            this.varied = varied;
            this.usualGapMs = gapMs;
            this.gapMs = gapMs;
            settings = firstSettings(balancers, tier);
            balancer = new LoadBalancer(settings, seed, this);
        }

        private BalancerSettings firstSettings(int balancers, int tier) {
            List<RequestClass> classes = new ArrayList<>();
            classes.add(
                    requestClass(
                            "read", 300, 1, 0, Idempotency.REPEATABLE, DeduplicationScope.ALL));
            classes.add(
                    requestClass("order", 400, 2, 0.5, Idempotency.ONCE, DeduplicationScope.ALL));
            classes.add(
                    requestClass("save", 500, 1, 0.5, Idempotency.BY_KEY, DeduplicationScope.CELL));
            classes.add(
                    requestClass(
                            "zoned", 500, 0.5, 0, Idempotency.BY_KEY, DeduplicationScope.ZONE));
            classes.add(
                    requestClass("keyed", 250, 3, 0, Idempotency.BY_KEY, DeduplicationScope.ALL));
            return new BalancerSettings(
                    balancers,
                    random.nextInt(balancers),
                    0,
                    tier,
                    2,
                    random.nextBoolean(),
                    random.nextBoolean(),
                    0.1,
                    random.nextInt(3) * (varied ? 0.02 : 0.01),
                    classes,
                    List.of(
                            new Tenant("a", varied ? 10 + random.nextInt(400) : 400, 0.5),
                            new Tenant("b", balancers * (varied ? random.nextInt(60) : 40), 0.5)),
                    new AttemptLimits(
                            2 + random.nextInt(3), random.nextBoolean(), tier < 2, 2000, 200),
                    rules());
        }

        private ServerRules rules() {
            double initialWarmth = varied ? 0.1 + 0.5 * random.nextDouble() : 0.3;
            double warmUpMs = varied && random.nextBoolean() ? 1500 : 6000;
            double listMs = varied ? 2000 + random.nextInt(8000) : 10_000;
            return new ServerRules(initialWarmth, warmUpMs, 3, 1000, 1000, listMs);
        }

        private static RequestClass requestClass(
                String name,
                double targetMs,
                double value,
                double lateValue,
                Idempotency idempotency,
                DeduplicationScope scope) {
            return new RequestClass(
                    name,
                    targetMs,
                    1500,
                    value,
                    lateValue,
                    idempotency,
                    scope,
                    900,
                    idempotency == Idempotency.REPEATABLE);
        }

        String run() {
            for (int i = 0; i < serverCount; i++) {
                servers.put("s" + i, new SimulatedServer(server(i, 0, ServerState.READY)));
            }
            sendList(ServerListKind.CACHED, List.copyOf(servers.values()));
            schedule(0, this::arrive);
            schedule(200, this::changeAtRandom);
            for (int i = 0; i < EVENTS; i++) {
                Event next = events.poll();
                nowMs = Math.max(nowMs, next.atMs());
                next.action().run();
                observe();
            }
            finish();
            return HexFormat.of().formatHex(digest.digest(), 0, 12);
        }

        private void finish() {
            for (int i = 0; i < NAMES_BEYOND_MEMORY; i++) {
                balancer.onServerList(
                        nowMs,
                        ServerListKind.DELTA,
                        List.of(Fixture.server("n" + i, 0, 0, ServerState.GONE)));
            }
            record("named " + balancer.wasListed("s0"));
            for (int i = 0; i < NAMES_BEYOND_MEMORY; i += 8) {
                record("named " + i + " " + balancer.wasListed("n" + i));
            }
        }

        private void observe() {
            record("limit " + bits(balancer.limit()) + " open " + balancer.openCalls());
        }

        private void record(String line) {
            digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        private static String bits(double value) {
            return Long.toHexString(Double.doubleToRawLongBits(value));
        }

        private void schedule(double inMs, Runnable action) {
            events.add(new Event(nowMs + inMs, scheduled++, action));
        }

        private Server server(int number, double startedMs, ServerState state) {
            return new Server(
                    "s" + number,
                    number % 3 == 2 ? 1 : 0,
                    0,
                    number % 4,
                    startedMs,
                    state,
                    1 + number % 3);
        }

        // ---- clients ----

        private void arrive() {
            schedule(gapMs * 2 * random.nextDouble(), this::arrive);
            int number = random.nextInt(settings.classes().size());
            RequestClass requestClass = settings.classes().get(number);
            String id = "q" + requests++;
            double deadlineMs = nowMs + (random.nextInt(10) == 0 ? 100 : requestClass.deadlineMs());
            Request request = new Request(id, number, random.nextInt(2), deadlineMs, false);
            calls.put(id, new ClientCall(request, requestClass));
            balancer.onRequest(nowMs, request);
            if (random.nextInt(40) == 0) {
                schedule(random.nextInt(200), () -> clientGone(id));
            }
            if (random.nextInt(500) == 0) {
                sendBadRequest(id);
            }
        }

        private void sendBadRequest(String id) {
            for (Request bad :
                    List.of(
                            new Request("x", 99, 0, nowMs + 9, false),
                            new Request("x", 0, 99, nowMs + 9, false),
                            new Request(id, 0, 0, nowMs + 9, false))) {
                try {
                    balancer.onRequest(nowMs, bad);
                    calls.putIfAbsent(bad.id(), new ClientCall(bad, settings.classes().get(0)));
                } catch (IllegalArgumentException e) {
                    record(e.getMessage());
                }
            }
        }

        private void clientGone(String id) {
            calls.get(id).concluded = true;
            balancer.onClientGone(nowMs, id);
        }

        // ---- servers ----

        @Override
        public void send(String request, String server, double timeoutMs) {
            record("send " + request + " " + server + " " + bits(timeoutMs));
            ClientCall call = calls.get(request);
            int attempt = call.servers.size();
            call.servers.add(server);
            call.sentAtMs.add(nowMs);
            call.ended.add(false);
            SimulatedServer target = servers.get(server);
            target.inFlight++;
            AttemptOutcome outcome = outcome(target);
            double tookMs = Math.max(0, durationMs(target, outcome, timeoutMs));
            boolean late = tookMs > timeoutMs && outcome != AttemptOutcome.TIMED_OUT;
            AttemptOutcome end = late ? AttemptOutcome.TIMED_OUT : outcome;
            double endMs = late ? timeoutMs : tookMs;
            if (call.requestClass.streamed()
                    && end == AttemptOutcome.OK
                    && random.nextInt(3) == 0) {
                schedule(endMs, () -> startStream(call, attempt));
                schedule(endMs + random.nextInt(300), () -> end(call, attempt, end, endMs));
            } else {
                schedule(endMs, () -> end(call, attempt, end, endMs));
            }
        }

        private AttemptOutcome outcome(SimulatedServer server) {
            return switch (server.behavior) {
                case HEALTHY, SLOW ->
                        server.inFlight > 60 ? AttemptOutcome.QUEUE_FULL : AttemptOutcome.OK;
                case HUNG -> AttemptOutcome.TIMED_OUT;
                case FAILS_EARLY, FAILS_LATE ->
                        random.nextInt(4) == 0 ? AttemptOutcome.OK : AttemptOutcome.FAILED;
                case UNREACHABLE -> AttemptOutcome.CONNECT_ERROR;
                case CONNECTS_HALF ->
                        random.nextBoolean() ? AttemptOutcome.OK : AttemptOutcome.CONNECT_ERROR;
                case RESETS -> AttemptOutcome.RESET;
                case FULL -> random.nextBoolean() ? AttemptOutcome.OK : AttemptOutcome.QUEUE_FULL;
                case ANY -> AttemptOutcome.values()[random.nextInt(8)];
            };
        }

        private double durationMs(
                SimulatedServer server, AttemptOutcome outcome, double timeoutMs) {
            double congestion = 1 + server.inFlight / 8.0;
            double workMs = serviceMs * (0.4 + 1.2 * random.nextDouble()) * congestion;
            return switch (outcome) {
                case OK -> server.behavior == Behavior.SLOW ? 5 * workMs : workMs;
                case TIMED_OUT -> timeoutMs;
                case FAILED -> server.behavior == Behavior.FAILS_LATE ? lateErrorMs(timeoutMs) : 3;
                default -> 1 + random.nextInt(20);
            };
        }

        private double lateErrorMs(double timeoutMs) {
            return varied
                    ? timeoutMs * (0.3 + 0.6 * random.nextDouble())
                    : timeoutMs * (0.6 + 0.3 * random.nextDouble());
        }

        private void startStream(ClientCall call, int attempt) {
            if (!call.ended.get(attempt)) {
                call.concluded = true;
                balancer.onStreamStarted(nowMs, call.request.id(), attempt);
            }
        }

        private void end(ClientCall call, int attempt, AttemptOutcome outcome, double tookMs) {
            if (call.ended.get(attempt) && random.nextInt(4) > 0) {
                return;
            }
            if (!call.ended.get(attempt)) {
                servers.get(call.servers.get(attempt)).inFlight--;
            }
            call.ended.set(attempt, true);
            call.concluded |= outcome == AttemptOutcome.OK;
            balancer.onAttemptFinished(
                    nowMs,
                    new AttemptResult(
                            call.request.id(),
                            attempt,
                            call.servers.get(attempt),
                            outcome,
                            tookMs,
                            call.concluded,
                            LoadReport.NONE));
        }

        @Override
        public void reject(String request, double coolDownMs) {
            record("refuse " + request + " " + bits(coolDownMs));
            calls.get(request).concluded = true;
        }

        @Override
        public void fail(String request) {
            record("fail " + request);
            calls.get(request).concluded = true;
        }

        @Override
        public void cancel(String request, int attempt) {
            record("cancel " + request + " " + attempt);
            ClientCall call = calls.get(request);
            double tookMs = nowMs - call.sentAtMs.get(attempt);
            schedule(0, () -> end(call, attempt, AttemptOutcome.CANCELED, tookMs));
        }

        @Override
        public void startTimer(double delayMs, long timerId) {
            record("timer " + bits(delayMs) + " " + timerId);
            schedule(delayMs, () -> balancer.onTimer(nowMs, timerId));
        }

        @Override
        public void closeIdleConnections(String server) {
            record("disconnect " + server);
        }

        @Override
        public void subscribe() {
            record("subscribe");
            schedule(
                    5,
                    () -> {
                        if (random.nextInt(3) == 0) {
                            sendList(ServerListKind.FULL, List.copyOf(servers.values()));
                        } else {
                            balancer.onServerList(nowMs, ServerListKind.FAILED, List.of());
                        }
                    });
        }

        @Override
        public void log(String line) {
            record("log " + line);
        }

        // ---- what changes around the balancer ----

        private void changeAtRandom() {
            schedule(random.nextInt(500), this::changeAtRandom);
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> changeBehavior();
                case 3, 4 -> changeServers();
                case 5 -> changeLoad();
                case 6 -> changeMaintenance();
                case 7 -> sendAdvice();
                case 8 -> changeSettings();
                case 9 -> servers.values().forEach(server -> server.behavior = Behavior.HEALTHY);
                case 10 -> changeSharedBehavior();
                default -> sendList(ServerListKind.FULL, List.copyOf(servers.values()));
            }
        }

        private SimulatedServer anyServer() {
            return servers.get("s" + random.nextInt(serverCount));
        }

        private Behavior anyBehavior() {
            return Behavior.values()[random.nextInt(Behavior.values().length)];
        }

        private void changeBehavior() {
            anyServer().behavior = anyBehavior();
        }

        private void changeSharedBehavior() {
            Behavior behavior = anyBehavior();
            servers.values().stream()
                    .filter(server -> random.nextInt(3) > 0)
                    .forEach(server -> server.behavior = behavior);
        }

        private void changeServers() {
            List<SimulatedServer> changed = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(3); i++) {
                SimulatedServer server = anyServer();
                int number = Integer.parseInt(server.id.substring(1));
                ServerState state =
                        random.nextInt(3) > 0
                                ? ServerState.READY
                                : ServerState.values()[random.nextInt(3)];
                double startedMs = random.nextBoolean() ? server.listed.startedMs() : nowMs;
                server.listed = server(number, startedMs, state);
                changed.add(server);
            }
            sendList(ServerListKind.DELTA, changed);
        }

        private void sendList(ServerListKind kind, List<SimulatedServer> entries) {
            List<Server> list =
                    entries.stream()
                            .filter(
                                    server ->
                                            kind == ServerListKind.DELTA
                                                    || server.listed.state() != ServerState.GONE)
                            .filter(server -> kind == ServerListKind.DELTA || !isOmitted())
                            .map(server -> server.listed)
                            .toList();
            balancer.onServerList(nowMs, kind, list);
        }

        private boolean isOmitted() {
            return varied && random.nextInt(8) == 0;
        }

        private void changeLoad() {
            if (varied) {
                double factor = random.nextInt(4) == 0 ? 0.05 : 0.5 + random.nextDouble();
                gapMs = usualGapMs * factor;
                serviceMs = random.nextInt(4) == 0 ? 150 : 5 + random.nextInt(60);
                return;
            }
            gapMs = usualGapMs * (random.nextInt(3) == 0 ? 0.1 : 0.5 + random.nextDouble());
            serviceMs = 10 + random.nextInt(60);
        }

        private void changeMaintenance() {
            String id = anyServer().id;
            boolean out = inMaintenance.add(id);
            if (!out) {
                inMaintenance.remove(id);
            }
            balancer.onMaintenance(nowMs, id, out);
        }

        private void sendAdvice() {
            Set<String> unhealthy = new LinkedHashSet<>();
            Set<String> staged = new LinkedHashSet<>();
            for (int i = 0; i < random.nextInt(3); i++) {
                unhealthy.add(anyServer().id);
                staged.add(anyServer().id);
            }
            balancer.onFleetAdvice(
                    nowMs,
                    new FleetAdvice(
                            nowMs + random.nextInt(varied ? 9000 : 4000),
                            unhealthy,
                            staged,
                            random.nextDouble() / 2,
                            random.nextBoolean() ? List.of() : List.of(30.0)));
        }

        private void changeSettings() {
            List<RequestClass> classes = new ArrayList<>(settings.classes());
            if (random.nextBoolean()) {
                classes.add(classes.remove(0));
            } else if (classes.size() > 3) {
                classes.remove(random.nextInt(classes.size()));
            }
            int balancers = Math.max(1, settings.balancers() + random.nextInt(3) - 1);
            settings =
                    new BalancerSettings(
                            balancers,
                            Math.min(settings.ownIndex(), balancers - 1),
                            settings.ownZone(),
                            settings.tier(),
                            settings.tiers(),
                            settings.mustRequestList(),
                            settings.weighted(),
                            settings.overQuotaValue(),
                            settings.crossZoneCost(),
                            classes,
                            random.nextBoolean()
                                    ? settings.tenants()
                                    : List.of(
                                            new Tenant("a", 10 + random.nextInt(500), 0.5),
                                            new Tenant("b", 10, 0.5)),
                            settings.limits(),
                            settings.rules());
            balancer.onSettings(nowMs, settings);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "1,6,1,0,8,c0de399c3422de1995f733fd",
        "2,10,3,0,4,954452493de00b6ed193d8b4",
        "3,12,40,0,60,927545ec9f35d1bd100f0952",
        "4,8,5,1,6,222aea73dbbb995db8552553",
        "5,3,2,1,1.5,0f3fbe9a220205292f84eb1c",
        "6,20,1,1,0.4,f01d9d58009fc1f4682e3efc",
        "7,15,4,0,2,47eccaff0095ed6bdb353dbd",
        "8,30,100,0,100,8675dca17511db63b468d7d4",
        "9,1,1,1,1,377705813a79f6f9e878ed43",
        "10,5,12,0,20,9e71fe4bc1166db0c0bb1376",
        "11,40,6,2,3,30f7b52e293fcb31a3f16cf1",
        "12,9,2,0,1,e9d5cd878b52dc7b3277ab96"
    })
    void makesTheSameDecisionsAsBefore(
            int seed, int servers, int balancers, int tier, double gapMs, String expected)
            throws NoSuchAlgorithmException {
        assertEquals(expected, new Driver(seed, servers, balancers, tier, gapMs, false).run());
    }

    @ParameterizedTest
    @CsvSource({
        "21,4,100,0,300,7eaaedfbdb0bbb4843664fdb",
        "22,3,60,0,100,5ad9ff3329c048ad01d9b4e0",
        "23,2,2,0,5,efcf014bec5a99498fdc8502",
        "24,8,2,0,3,dcd9e1641c5209ffe03164dd",
        "25,12,5,0,12,3ababe7bece6662682b7b7fe",
        "26,25,3,0,2,78808ef75705a96c9a4ea32a",
        "27,30,30,0,40,d4a8f507b8bf668c3540a886",
        "28,5,4,1,8,0ffabc22dbf30cc729e3b0e7",
        "29,20,10,1,3,d0484fe750ea3014952b0039",
        "30,3,1,0,4,65d2f34f945b6eb8c8574507",
        "31,10,20,0,30,98742d30e95e3d4d62096444",
        "32,6,8,0,15,b55639e98956505de586731b"
    })
    void makesTheSameDecisionsUnderVariedConditions(
            int seed, int servers, int balancers, int tier, double gapMs, String expected)
            throws NoSuchAlgorithmException {
        assertEquals(expected, new Driver(seed, servers, balancers, tier, gapMs, true).run());
    }
}
