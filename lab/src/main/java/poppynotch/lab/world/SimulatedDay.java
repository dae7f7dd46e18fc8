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
 * A day of an experiment: model servers, discovery, the front and the clients, on whatever clock
 * and with whatever sidecars it is given. One thread runs all of it. What is drawn for requests
 * depends on the seed alone, so that every policy meets the same day.
 */
public final class SimulatedDay {

    /**
     * A planned restart kills so long after SIGTERM and the longest deadline, which counts as 3 s
     * at most.
     */
    private static final double KILL_DELAY_MS = 700;

    private static final double MAX_COUNTED_DEADLINE_MS = 3000;

    /** For so long after SIGTERM the front still deals out new requests. */
    private static final double DISMISS_DELAY_MS = 300;

    private final Experiment experiment;
    private final Time time;
    private final WorldListener facts;
    private final Sidecars sidecars;
    private final SplittableRandom random;
    private final List<List<ModelServer>> modelServers = new ArrayList<>();
    private final Map<String, ModelServer> byId = new LinkedHashMap<>();
    private final List<Discovery> discoveries = new ArrayList<>();
    private final FrontProxy frontProxy;
    private final Clients clients;
    private final FaultDirector faultDirector;
    private final double[] meanCallsByTier;
    private final Map<String, Map<String, Double>> seenKeysByCell = new HashMap<>();
    private final double longestDeadline;
    private final long seed;
    private final double slackMs;

    /** When each sidecar was told that a model server which is young had started. */
    private final Map<Integer, Map<String, Double>> knownStartsBySidecar = new HashMap<>();

    /** Sidecars that could be at work in each tier, for the settings of each. */
    private final List<SidecarPort> frontSidecars = new ArrayList<>();

    private final int[] frontSidecarNumbers;
    private final int[] nextPositionByTier;
    private final int[] initialServersByTier;
    private int sidecarCount;
    private int pendingStarts;
    private boolean started;
    private long lastRequestNumber;
    private int partitionedZone = -1;
    private Runnable onStarted = () -> {};

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
            WorldListener listener,
            Sidecars sidecars) {
        this.experiment = experiment;
        this.seed = seed;
        this.time = time;
        this.facts = listener;
        this.sidecars = sidecars;
        this.slackMs = slackMs;
        random = new SplittableRandom(seed);
        frontProxy = new FrontProxy(experiment.world().zones().size());
        List<Experiment.Tier> tiers = experiment.world().tiers();
        meanCallsByTier = new double[tiers.size()];
        nextPositionByTier = new int[tiers.size()];
        initialServersByTier = new int[tiers.size()];
        for (int t = 0; t < tiers.size(); t++) {
            meanCallsByTier[t] = tiers.get(t).calls().draw(random);
        }
        clients = new Clients(this, new SplittableRandom(seed ^ 0xC11E));
        faultDirector = new FaultDirector(this, new SplittableRandom(seed ^ 0xD13E));
        longestDeadline =
                experiment.world().classes().stream()
                        .mapToDouble(RequestClass::deadlineMs)
                        .max()
                        .orElse(0);
        frontSidecarNumbers = new int[experiment.world().sidecars()];
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
        return modelServers.size();
    }

    /** The model servers that a tier has or had. */
    public List<ModelServer> nodos(int tier) {
        return modelServers.get(tier);
    }

    /** A model server by its name, or null. */
    public ModelServer nodo(String id) {
        return byId.get(id);
    }

    /** The service that lists a tier's model servers. */
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
        onStarted = whenBegun;
        List<Experiment.Tier> tiers = experiment.world().tiers();
        for (int t = 0; t < tiers.size(); t++) {
            modelServers.add(new ArrayList<>());
            discoveries.add(new Discovery(this));
            initialServersByTier[t] = tiers.get(t).serverCount();
            for (int i = 0; i < tiers.get(t).serverCount(); i++) {
                ModelServer modelServer = create(t, i % experiment.world().zones().size());
                modelServer.start(0);
                sidecars.opened(modelServer);
                discoveries.get(t).addInitialServer(listEntry(modelServer, ServerState.READY));
            }
        }
        // What is started here must all be ready before the day may begin.
        pendingStarts = 1;
        for (int t = 0; t < tiers.size() - 1; t++) {
            for (ModelServer modelServer : modelServers.get(t)) {
                pendingStarts++;
                modelServer.sidecar = startLocalSidecar(modelServer, this::onProcessReady);
            }
        }
        for (int i = 0; i < experiment.world().sidecars(); i++) {
            pendingStarts++;
            frontProxy.add(i % experiment.world().zones().size());
            frontSidecars.add(null);
            startFrontSidecar(i, this::onProcessReady);
        }
        onProcessReady();
    }

    private void onProcessReady() {
        if (--pendingStarts == 0 && !started) {
            started = true;
            faultDirector.begin();
            clients.begin();
            onStarted.run();
        }
    }

    private ModelServer create(int tier, int zone) {
        List<ModelServer> all = modelServers.get(tier);
        int place = all.size();
        // A hash of place and seed: names tell nothing of zone or age.
        String id =
                "s-"
                        + String.format(
                                "%08x", (int) mix(seed * 31 + tier * 1_000_003L + place * 7919L));
        while (byId.containsKey(id)) {
            id += "x";
        }
        ModelServer modelServer =
                new ModelServer(
                        this,
                        id,
                        tier,
                        zone,
                        place / experiment.world().tiers().get(tier).cellSize(),
                        new SplittableRandom(mix(seed + tier * 131_071L + place)));
        all.add(modelServer);
        byId.put(id, modelServer);
        return modelServer;
    }

    static long mix(long z) {
        long h = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }

    private Server listEntry(ModelServer modelServer, ServerState state) {
        return new Server(
                modelServer.id,
                modelServer.zone,
                0,
                modelServer.cell,
                modelServer.startedMs,
                state,
                modelServer.weight());
    }

    // ---- sidecars ----

    private SidecarPort startLocalSidecar(ModelServer modelServer, Runnable ready) {
        int of = Math.max(initialServersByTier[modelServer.tier], 1);
        Discovery next = discoveries.get(modelServer.tier + 1);
        Discovery.Listing known = next.fullListing();
        int number = sidecarCount++;
        facts.sidecar(now(), number, true);
        return sidecars.start(
                new Sidecars.Post(
                        number,
                        nextPositionByTier[modelServer.tier]++ % of,
                        of,
                        modelServer.zone,
                        modelServer.tier + 1,
                        mix(seed + number),
                        known.servers(),
                        known.version()),
                ready);
    }

    private void startFrontSidecar(int place, Runnable ready) {
        Discovery.Listing known = discoveries.get(0).fullListing();
        int number = sidecarCount++;
        int zone = place % experiment.world().zones().size();
        facts.sidecar(now(), number, true);
        frontSidecarNumbers[place] = number;
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
                            if (frontSidecars.get(place) == port[0]) {
                                frontProxy.admit(place, port[0]);
                                ready.run();
                            }
                        });
        frontSidecars.set(place, port[0]);
    }

    /** A first-tier sidecar dies and is back, with nothing but the list, after a while. */
    void killFrontSidecar(int place, double backAfterMs) {
        SidecarPort port = frontSidecars.get(place);
        facts.sidecar(now(), frontSidecarNumbers[place], false);
        port.kill();
        time.after(
                draw(experiment.world().front().noticeMs()), () -> frontProxy.dismiss(place, port));
        time.after(backAfterMs, () -> startFrontSidecar(place, () -> {}));
    }

    /** A first-tier sidecar is restarted by SIGTERM. */
    void restartFrontSidecar(int place) {
        SidecarPort port = frontSidecars.get(place);
        port.terminate();
        time.after(DISMISS_DELAY_MS, () -> frontProxy.dismiss(place, port));
        time.after(
                Math.min(MAX_COUNTED_DEADLINE_MS, longestDeadline) + KILL_DELAY_MS,
                () -> {
                    facts.sidecar(now(), frontSidecarNumbers[place], false);
                    port.kill();
                    startFrontSidecar(place, () -> {});
                });
    }

    // ---- model servers ----

    /** A model server's process dies, and its sidecar with it. */
    void crash(ModelServer modelServer) {
        if (!modelServer.isRunning()) {
            return;
        }
        modelServer.stop();
        sidecars.closed(modelServer);
        stopSidecar(modelServer);
        discoveries.get(modelServer.tier).reportChange(listEntry(modelServer, ServerState.GONE));
    }

    private void stopSidecar(ModelServer modelServer) {
        if (modelServer.sidecar != null) {
            modelServer.sidecar.kill();
            modelServer.sidecar = null;
        }
    }

    /** It is back, cold, once its own sidecar is ready. */
    void restart(ModelServer modelServer) {
        if (modelServer.isRunning()) {
            return;
        }
        if (modelServer.tier == tiers() - 1) {
            startProcess(modelServer);
            return;
        }
        modelServer.sidecar =
                startLocalSidecar(
                        modelServer,
                        () -> {
                            if (!modelServer.isRunning()) {
                                startProcess(modelServer);
                            }
                        });
    }

    private void startProcess(ModelServer modelServer) {
        modelServer.start(now());
        sidecars.opened(modelServer);
        discoveries.get(modelServer.tier).reportChange(listEntry(modelServer, ServerState.READY));
    }

    /** A cold model server has been pushed over: it stays down, though its process runs. */
    void onCollapsed(ModelServer modelServer, double byInformed) {
        facts.onServerCollapsed(now(), modelServer, byInformed);
        sidecars.closed(modelServer);
    }

    /**
     * A model server finishes what it has and is gone; another, with a new name, takes its place.
     */
    void replace(ModelServer modelServer) {
        if (!modelServer.isRunning()) {
            return;
        }
        modelServer.drain();
        discoveries
                .get(modelServer.tier)
                .reportChange(listEntry(modelServer, ServerState.DRAINING));
        restart(create(modelServer.tier, modelServer.zone));
        // By then every sidecar was told, and what it took has had its time.
        time.after(
                experiment.world().discovery().noticeMs().high() + longestDeadline + KILL_DELAY_MS,
                () -> crash(modelServer));
    }

    // ---- what model servers, clients and hosts ask for ----

    /** A draw from the day's own random numbers. */
    public double draw(Range range) {
        return range.draw(random);
    }

    /** How many calls a request makes to a tier. */
    int drawCallCount(int tier, SplittableRandom drawn) {
        double mean = meanCallsByTier[tier];
        int whole = (int) mean;
        return whole + (drawn.nextDouble() < mean - whole ? 1 : 0);
    }

    /** A new id for a request, in the form that clients use. */
    String newId() {
        return String.format("%016x", mix(++lastRequestNumber ^ seed << 32));
    }

    Call createChildCall(Call parent, int zone, int tier, double until, int attempt, int number) {
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

    /** Whether a model server's cell has seen the key of late, which it notes. */
    boolean recordAndCheckDuplicate(ModelServer modelServer, Call call) {
        double window = experiment.world().classes().get(call.first.kind).windowMs();
        Map<String, Double> seen =
                seenKeysByCell.computeIfAbsent(
                        modelServer.tier + "/" + modelServer.cell, cell -> new LinkedHashMap<>());
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
                                facts.onCallAbandoned(now(), call);
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
                        facts.onCallAnswered(now(), call, answer);
                        to.accept(answer);
                    }
                });
    }

    /** A caller waits no longer. */
    void abandon(SidecarPort port, Call call) {
        if (!call.over) {
            call.over = true;
            facts.onCallAbandoned(now(), call);
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

    FrontProxy frontProxy() {
        return frontProxy;
    }

    Clients clients() {
        return clients;
    }

    SidecarPort frontSidecar(int place) {
        return frontSidecars.get(place);
    }

    /** Whether a class may be asked for again by its client after a failure. */
    boolean mayRetryAfterFailure(int kind) {
        RequestClass asked = experiment.world().classes().get(kind);
        return asked.effect() == Idempotency.REPEATABLE
                || asked.effect() == Idempotency.BY_KEY
                        && asked.group() == poppynotch.balancer.DeduplicationScope.ALL;
    }

    // ---- what sidecars are told ----

    /** Discovery's answer has reached a sidecar of a tier. */
    public void told(int sidecar, int tier, Discovery.Listing listing) {
        Map<String, Double> starts =
                knownStartsBySidecar.computeIfAbsent(sidecar, number -> new HashMap<>());
        for (Server server : listing.servers()) {
            if (server.startedMs() > 0) {
                starts.put(server.id(), server.startedMs());
            }
            facts.onServerStateDelivered(
                    now(), sidecar, server.id(), server.state(), server.startedMs());
        }
        if (listing.full()) {
            Set<String> named = new HashSet<>();
            listing.servers().forEach(server -> named.add(server.id()));
            for (ModelServer modelServer : modelServers.get(tier)) {
                if (!named.contains(modelServer.id)) {
                    facts.onServerStateDelivered(
                            now(), sidecar, modelServer.id, ServerState.GONE, 0);
                }
            }
        }
    }

    /** Whether a sidecar was told of a model server's present process. */
    public boolean informed(int sidecar, ModelServer modelServer) {
        return knownStartsBySidecar
                        .getOrDefault(sidecar, Map.of())
                        .getOrDefault(modelServer.id, -1.0)
                >= modelServer.startedMs;
    }

    // ---- the network ----

    void partitionZone(int zone) {
        partitionedZone = zone;
    }

    /** Whether nothing passes between two zones at present. */
    public boolean isCut(int from, int to) {
        return partitionedZone >= 0
                && from != to
                && (from == partitionedZone || to == partitionedZone);
    }

    /** What a message takes from one zone to another, one way. */
    public double delay(int from, int to) {
        Experiment.Network network = experiment.world().network();
        Range range = from == to ? network.sameZoneMs() : network.crossZoneMs();
        return draw(range) * (1 + network.jitter() * (2 * random.nextDouble() - 1));
    }
}
