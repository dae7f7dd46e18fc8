package poppynotch.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.experiment.Range;

/**
 * A day of an experiment: nodos, discovery, the front and the clients, on whatever clock and with
 * whatever sidecars it is given. One thread runs all of it. What is drawn for requests depends on
 * the seed alone, so that every policy meets the same day.
 */
public final class SimulatedDay {

    /**
     * A planned restart kills so long after SIGTERM and the longest deadline, which counts as 3 s
     * at most.
     */
    private static final double KILL_AFTER_MS = 700;

    private static final double LONGEST_COUNTED_MS = 3000;

    /** For so long after SIGTERM the front still deals out new requests. */
    private static final double LINGER_MS = 300;

    private final Experiment experiment;
    private final Time time;
    private final WorldListener facts;
    private final Sidecars sidecars;
    private final SplittableRandom random;
    private final List<List<ModelServer>> nodos = new ArrayList<>();
    private final Map<String, ModelServer> byId = new LinkedHashMap<>();
    private final List<Discovery> discoveries = new ArrayList<>();
    private final FrontProxy front;
    private final Clients clients;
    private final FaultDirector director;
    private final double[] callMeans;
    private final Map<String, Map<String, Double>> cells = new HashMap<>();
    private final double longestDeadline;
    private final long seed;
    private final double slackMs;

    /** When each sidecar was told that a nodo which is young had started. */
    private final Map<Integer, Map<String, Double>> toldStarts = new HashMap<>();

    /** Sidecars that could be at work in each tier, for the settings of each. */
    private final List<SidecarPort> frontPorts = new ArrayList<>();

    private final int[] frontNumbers;
    private final int[] tierPlaces;
    private final int[] tierNodos;
    private int sidecarCount;
    private int waitedFor;
    private boolean begun;
    private long ids;
    private int cutZone = -1;
    private Runnable onBegin = () -> {};

    /**
     * A day that has not begun.
     *
     * @param slackMs how long after its time a caller still takes an answer, which then earns
     *     nothing
     */
    public SimulatedDay(
            Experiment experiment,
            long seed,
            Time time,
            double slackMs,
            WorldListener facts,
            Sidecars sidecars) {
        this.experiment = experiment;
        this.seed = seed;
        this.time = time;
        this.facts = facts;
        this.sidecars = sidecars;
        this.slackMs = slackMs;
        random = new SplittableRandom(seed);
        front = new FrontProxy(experiment.world().zones().size());
        List<Experiment.Tier> tiers = experiment.world().tiers();
        callMeans = new double[tiers.size()];
        tierPlaces = new int[tiers.size()];
        tierNodos = new int[tiers.size()];
        for (int t = 0; t < tiers.size(); t++) {
            callMeans[t] = tiers.get(t).calls().draw(random);
        }
        clients = new Clients(this, new SplittableRandom(seed ^ 0xC11E));
        director = new FaultDirector(this, new SplittableRandom(seed ^ 0xD13E));
        longestDeadline =
                experiment.world().classes().stream()
                        .mapToDouble(RequestClass::deadlineMs)
                        .max()
                        .orElse(0);
        frontNumbers = new int[experiment.world().sidecars()];
    }

    /** The experiment that is played. */
    public Experiment experiment() {
        return experiment;
    }

    /** The clock. */
    public Time time() {
        return time;
    }

    /** Milliseconds on the clock. */
    public double now() {
        return time.now();
    }

    /** Who hears of what happens. */
    public WorldListener facts() {
        return facts;
    }

    /** How many tiers there are. */
    public int tiers() {
        return nodos.size();
    }

    /** The nodos that a tier has or had. */
    public List<ModelServer> nodos(int tier) {
        return nodos.get(tier);
    }

    /** A nodo by its name, or null. */
    public ModelServer nodo(String id) {
        return byId.get(id);
    }

    /** The service that lists a tier's nodos. */
    public Discovery discovery(int tier) {
        return discoveries.get(tier);
    }

    /** The seed of the day. */
    public long seed() {
        return seed;
    }

    /** The longest time that a client may wait for an answer. */
    public double longestDeadline() {
        return longestDeadline;
    }

    /** When the last request has had its time, counted from the first moment of the day. */
    public double lengthMs() {
        return experiment.durationMs() + longestDeadline + slackMs;
    }

    /**
     * Starts all processes; {@code whenBegun} is called once all are ready and the first request
     * may come.
     */
    public void start(Runnable whenBegun) {
        onBegin = whenBegun;
        List<Experiment.Tier> tiers = experiment.world().tiers();
        for (int t = 0; t < tiers.size(); t++) {
            nodos.add(new ArrayList<>());
            discoveries.add(new Discovery(this));
            tierNodos[t] = tiers.get(t).nodos();
            for (int i = 0; i < tiers.get(t).nodos(); i++) {
                ModelServer nodo = create(t, i % experiment.world().zones().size());
                nodo.start(0);
                sidecars.opened(nodo);
                discoveries.get(t).list(entry(nodo, ServerState.READY));
            }
        }
        // What is started here must all be ready before the day may begin.
        waitedFor = 1;
        for (int t = 0; t < tiers.size() - 1; t++) {
            for (ModelServer nodo : nodos.get(t)) {
                waitedFor++;
                nodo.sidecar = startBeside(nodo, this::oneReady);
            }
        }
        for (int i = 0; i < experiment.world().sidecars(); i++) {
            waitedFor++;
            front.add(i % experiment.world().zones().size());
            frontPorts.add(null);
            startFront(i, this::oneReady);
        }
        oneReady();
    }

    private void oneReady() {
        if (--waitedFor == 0 && !begun) {
            begun = true;
            director.begin();
            clients.begin();
            onBegin.run();
        }
    }

    private ModelServer create(int tier, int zone) {
        List<ModelServer> all = nodos.get(tier);
        int place = all.size();
        // A hash of place and seed: names tell nothing of zone or age.
        String id =
                "s-"
                        + String.format(
                                "%08x", (int) mix(seed * 31 + tier * 1_000_003L + place * 7919L));
        while (byId.containsKey(id)) {
            id += "x";
        }
        ModelServer nodo =
                new ModelServer(
                        this,
                        id,
                        tier,
                        zone,
                        place / experiment.world().tiers().get(tier).cellSize(),
                        new SplittableRandom(mix(seed + tier * 131_071L + place)));
        all.add(nodo);
        byId.put(id, nodo);
        return nodo;
    }

    static long mix(long z) {
        long h = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }

    private Server entry(ModelServer nodo, ServerState state) {
        return new Server(nodo.id, nodo.zone, 0, nodo.cell, nodo.startedMs, state, nodo.weight());
    }

    // ---- sidecars ----

    private SidecarPort startBeside(ModelServer nodo, Runnable ready) {
        int of = Math.max(tierNodos[nodo.tier], 1);
        Discovery next = discoveries.get(nodo.tier + 1);
        Discovery.Listing known = next.whole();
        int number = sidecarCount++;
        facts.sidecar(now(), number, true);
        return sidecars.start(
                new Sidecars.Post(
                        number,
                        tierPlaces[nodo.tier]++ % of,
                        of,
                        nodo.zone,
                        nodo.tier + 1,
                        mix(seed + number),
                        known.servers(),
                        known.version()),
                ready);
    }

    private void startFront(int place, Runnable ready) {
        Discovery.Listing known = discoveries.get(0).whole();
        int number = sidecarCount++;
        int zone = place % experiment.world().zones().size();
        facts.sidecar(now(), number, true);
        frontNumbers[place] = number;
        SidecarPort[] port = new SidecarPort[1];
        port[0] =
                sidecars.start(
                        new Sidecars.Post(
                                number,
                                place,
                                experiment.world().sidecars(),
                                zone,
                                0,
                                mix(seed + number),
                                known.servers(),
                                known.version()),
                        () -> {
                            if (frontPorts.get(place) == port[0]) {
                                front.admit(place, port[0]);
                                ready.run();
                            }
                        });
        frontPorts.set(place, port[0]);
    }

    /** A first-tier sidecar dies and is back, with nothing but the list, after a while. */
    void killFront(int place, double backAfterMs) {
        SidecarPort port = frontPorts.get(place);
        facts.sidecar(now(), frontNumbers[place], false);
        port.kill();
        time.after(draw(experiment.world().front().noticeMs()), () -> front.dismiss(place, port));
        time.after(backAfterMs, () -> startFront(place, () -> {}));
    }

    /** A first-tier sidecar is restarted by SIGTERM. */
    void restartFront(int place) {
        SidecarPort port = frontPorts.get(place);
        port.terminate();
        time.after(LINGER_MS, () -> front.dismiss(place, port));
        time.after(
                Math.min(LONGEST_COUNTED_MS, longestDeadline) + KILL_AFTER_MS,
                () -> {
                    facts.sidecar(now(), frontNumbers[place], false);
                    port.kill();
                    startFront(place, () -> {});
                });
    }

    // ---- nodos ----

    /** A nodo's process dies, and its sidecar with it. */
    void crash(ModelServer nodo) {
        if (!nodo.isRunning()) {
            return;
        }
        nodo.stop();
        sidecars.closed(nodo);
        stopSidecar(nodo);
        discoveries.get(nodo.tier).learn(entry(nodo, ServerState.GONE));
    }

    private void stopSidecar(ModelServer nodo) {
        if (nodo.sidecar != null) {
            nodo.sidecar.kill();
            nodo.sidecar = null;
        }
    }

    /** It is back, cold, once its own sidecar is ready. */
    void comeBack(ModelServer nodo) {
        if (nodo.isRunning()) {
            return;
        }
        if (nodo.tier == tiers() - 1) {
            comeUp(nodo);
            return;
        }
        nodo.sidecar =
                startBeside(
                        nodo,
                        () -> {
                            if (!nodo.isRunning()) {
                                comeUp(nodo);
                            }
                        });
    }

    private void comeUp(ModelServer nodo) {
        nodo.start(now());
        sidecars.opened(nodo);
        discoveries.get(nodo.tier).learn(entry(nodo, ServerState.READY));
    }

    /** A cold nodo has been pushed over: it stays down, though its process runs. */
    void fell(ModelServer nodo, double byInformed) {
        facts.pushedOver(now(), nodo, byInformed);
        sidecars.closed(nodo);
    }

    /** A nodo finishes what it has and is gone; another, with a new name, takes its place. */
    void replace(ModelServer nodo) {
        if (!nodo.isRunning()) {
            return;
        }
        nodo.drain();
        discoveries.get(nodo.tier).learn(entry(nodo, ServerState.DRAINING));
        comeBack(create(nodo.tier, nodo.zone));
        // By then every sidecar was told, and what it took has had its time.
        time.after(
                experiment.world().discovery().noticeMs().high() + longestDeadline + KILL_AFTER_MS,
                () -> crash(nodo));
    }

    // ---- what nodos, clients and hosts ask for ----

    /** A draw from the day's own random numbers. */
    public double draw(Range range) {
        return range.draw(random);
    }

    /** How many calls a request makes to a tier. */
    int calls(int tier, SplittableRandom drawn) {
        double mean = callMeans[tier];
        int whole = (int) mean;
        return whole + (drawn.nextDouble() < mean - whole ? 1 : 0);
    }

    /** A new id for a request, in the form that clients use. */
    String newId() {
        return String.format("%016x", mix(++ids ^ seed << 32));
    }

    Call childOf(Call parent, int zone, int tier, double until, int attempt, int number) {
        String key = parent.key == null ? null : parent.key + "/" + number;
        return new Call(
                newId(),
                parent.first,
                tier,
                zone,
                now(),
                until,
                key,
                false,
                mix(parent.seed + number * 0x9E3779B97F4A7C15L));
    }

    /** Whether a nodo's cell has seen the key of late, which it notes. */
    boolean isRepeat(ModelServer nodo, Call call) {
        double window = experiment.world().classes().get(call.first.kind).windowMs();
        Map<String, Double> seen =
                cells.computeIfAbsent(nodo.tier + "/" + nodo.cell, cell -> new LinkedHashMap<>());
        var oldest = seen.entrySet().iterator();
        while (oldest.hasNext() && oldest.next().getValue() < now() - window) {
            oldest.remove();
        }
        return seen.putIfAbsent(call.key, now()) != null;
    }

    /** Hands a request to a sidecar; the caller waits until its time and the slack are over. */
    void send(SidecarPort port, Call call, Consumer<Answer> to) {
        if (port == null) {
            to.accept(Answer.of(Answer.Kind.UNREACHABLE));
            return;
        }
        Time.Alarm alarm =
                time.after(
                        call.deadline + slackMs - now(),
                        () -> {
                            if (!call.over) {
                                call.over = true;
                                facts.left(now(), call);
                                port.abandon(call);
                                to.accept(Answer.of(Answer.Kind.FAILED));
                            }
                        });
        port.request(
                call,
                answer -> {
                    if (!call.over) {
                        call.over = true;
                        alarm.cancel();
                        facts.answered(now(), call, answer);
                        to.accept(answer);
                    }
                });
    }

    /** A caller waits no longer. */
    void abandon(SidecarPort port, Call call) {
        if (!call.over) {
            call.over = true;
            facts.left(now(), call);
            if (port != null) {
                port.abandon(call);
            }
        }
    }

    /**
     * How late the clients' generator was at most, in milliseconds, and for how many arrivals by
     * over 5 ms.
     */
    public double[] lateness() {
        return clients.lateness();
    }

    FrontProxy front() {
        return front;
    }

    Clients clients() {
        return clients;
    }

    SidecarPort frontPort(int place) {
        return frontPorts.get(place);
    }

    /** Whether a class may be asked for again by its client after a failure. */
    boolean mayRepeat(int kind) {
        RequestClass asked = experiment.world().classes().get(kind);
        return asked.effect() == Idempotency.REPEATABLE
                || asked.effect() == Idempotency.BY_KEY
                        && asked.group() == poppynotch.balancer.DeduplicationScope.ALL;
    }

    // ---- what sidecars are told ----

    /** Discovery's answer has reached a sidecar of a tier. */
    public void told(int sidecar, int tier, Discovery.Listing listing) {
        Map<String, Double> starts = toldStarts.computeIfAbsent(sidecar, number -> new HashMap<>());
        for (Server server : listing.servers()) {
            if (server.startedMs() > 0) {
                starts.put(server.id(), server.startedMs());
            }
            facts.told(now(), sidecar, server.id(), server.state(), server.startedMs());
        }
        if (listing.full()) {
            Set<String> named = new HashSet<>();
            listing.servers().forEach(server -> named.add(server.id()));
            for (ModelServer nodo : nodos.get(tier)) {
                if (!named.contains(nodo.id)) {
                    facts.told(now(), sidecar, nodo.id, ServerState.GONE, 0);
                }
            }
        }
    }

    /** Whether a sidecar was told of a nodo's present process. */
    public boolean informed(int sidecar, ModelServer nodo) {
        return toldStarts.getOrDefault(sidecar, Map.of()).getOrDefault(nodo.id, -1.0)
                >= nodo.startedMs;
    }

    // ---- the network ----

    void cut(int zone) {
        cutZone = zone;
    }

    /** Whether nothing passes between two zones at present. */
    public boolean isCut(int from, int to) {
        return cutZone >= 0 && from != to && (from == cutZone || to == cutZone);
    }

    /** What a message takes from one zone to another, one way. */
    public double delay(int from, int to) {
        Experiment.Network network = experiment.world().network();
        Range range = from == to ? network.sameZoneMs() : network.crossZoneMs();
        return draw(range) * (1 + network.jitter() * (2 * random.nextDouble() - 1));
    }
}
