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
 * A simulated day of an experiment: owns the model servers, discovery services, front proxy,
 * clients and injected faults, and runs them on the given clock with the given sidecars.
 *
 * <p>One thread runs all of it. What is drawn for requests depends on the seed alone, so that every
 * policy gets the same day.
 */
public final class SimulatedDay {

    /**
     * A graceful restart kills the process this long after SIGTERM plus the longest deadline, of
     * which 3 s count at most.
     */
    private static final double KILL_DELAY_MS = 700;

    private static final double MAX_COUNTED_DEADLINE_MS = 3000;

    /** The front proxy still sends new requests to a sidecar this long after its SIGTERM. */
    private static final double DISMISS_DELAY_MS = 300;

    private final Experiment experiment;
    private final SimulationClock time;
    private final WorldListener listener;
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
    private final double maxDeadlineMs;
    private final long seed;
    private final double slackMs;

    /** By sidecar and server: the start time of the newest process that the sidecar knows of. */
    private final Map<Integer, Map<String, Double>> knownStartsBySidecar = new HashMap<>();

    /** The first tier's sidecars by position; null before the first start. */
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
     * A day that has not started.
     *
     * @param slackMs how long after its time a caller still takes an answer, which then earns
     *     nothing
     */
    public SimulatedDay(
            Experiment experiment,
            long seed,
            SimulationClock time,
            double slackMs,
            WorldListener listener,
            Sidecars sidecars) {
        this.experiment = experiment;
        this.seed = seed;
        this.time = time;
        this.listener = listener;
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
        maxDeadlineMs =
                experiment.world().classes().stream()
                        .mapToDouble(RequestClass::deadlineMs)
                        .max()
                        .orElse(0);
        frontSidecarNumbers = new int[experiment.world().sidecars()];
    }

    /** The experiment that is run. */
    public Experiment experiment() {
        return experiment;
    }

    /** The clock. */
    public SimulationClock time() {
        return time;
    }

    /** Milliseconds on the clock. */
    public double now() {
        return time.now();
    }

    /** The listener that is notified of what happens. */
    public WorldListener listener() {
        return listener;
    }

    /** How many tiers there are. */
    public int tiers() {
        return modelServers.size();
    }

    /** The model servers that a tier has or had. */
    public List<ModelServer> modelServers(int tier) {
        return modelServers.get(tier);
    }

    /** A model server by its id, or null. */
    public ModelServer modelServer(String id) {
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
    public double maxDeadlineMs() {
        return maxDeadlineMs;
    }

    /** Milliseconds from the start of the day until the last request has timed out. */
    public double lengthMs() {
        return experiment.durationMs() + maxDeadlineMs + slackMs;
    }

    /**
     * Starts all processes.
     *
     * @param whenBegun called once, when all are ready and arrivals begin
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
                sidecars.onServerStarted(modelServer);
                discoveries.get(t).addInitialServer(listEntry(modelServer, ServerState.READY));
            }
        }
        // One for this method itself, so that the day starts only after all of them were counted.
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
            faultDirector.start();
            clients.start();
            onStarted.run();
        }
    }

    private ModelServer create(int tier, int zone) {
        List<ModelServer> all = modelServers.get(tier);
        int position = all.size();
        // A hash of position and seed, so that the id reveals neither zone nor age.
        String id =
                "s-"
                        + String.format(
                                "%08x",
                                (int) mix(seed * 31 + tier * 1_000_003L + position * 7919L));
        while (byId.containsKey(id)) {
            id += "x";
        }
        ModelServer modelServer =
                new ModelServer(
                        this,
                        id,
                        tier,
                        zone,
                        position / experiment.world().tiers().get(tier).cellSize(),
                        new SplittableRandom(mix(seed + tier * 131_071L + position)));
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
        listener.onSidecarStateChanged(now(), number, true);
        return sidecars.start(
                new Sidecars.Placement(
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

    private void startFrontSidecar(int position, Runnable ready) {
        Discovery.Listing known = discoveries.get(0).fullListing();
        int number = sidecarCount++;
        int zone = position % experiment.world().zones().size();
        listener.onSidecarStateChanged(now(), number, true);
        frontSidecarNumbers[position] = number;
        SidecarPort[] port = new SidecarPort[1];
        port[0] =
                sidecars.start(
                        new Sidecars.Placement(
                                number,
                                position,
                                experiment.world().sidecars(),
                                zone,
                                0,
                                mix(seed + number),
                                known.servers(),
                                known.version()),
                        () -> {
                            if (frontSidecars.get(position) == port[0]) {
                                frontProxy.admit(position, port[0]);
                                ready.run();
                            }
                        });
        frontSidecars.set(position, port[0]);
    }

    /** Kills a first-tier sidecar and starts it again later with nothing but the list. */
    void killFrontSidecar(int position, double backAfterMs) {
        SidecarPort port = frontSidecars.get(position);
        listener.onSidecarStateChanged(now(), frontSidecarNumbers[position], false);
        port.kill();
        time.schedule(
                draw(experiment.world().front().noticeMs()),
                () -> frontProxy.dismiss(position, port));
        time.schedule(backAfterMs, () -> startFrontSidecar(position, () -> {}));
    }

    /** Restarts a first-tier sidecar gracefully, by SIGTERM. */
    void restartFrontSidecar(int position) {
        SidecarPort port = frontSidecars.get(position);
        port.terminate();
        time.schedule(DISMISS_DELAY_MS, () -> frontProxy.dismiss(position, port));
        time.schedule(
                Math.min(MAX_COUNTED_DEADLINE_MS, maxDeadlineMs) + KILL_DELAY_MS,
                () -> {
                    listener.onSidecarStateChanged(now(), frontSidecarNumbers[position], false);
                    port.kill();
                    startFrontSidecar(position, () -> {});
                });
    }

    // ---- model servers ----

    /** Kills a model server's process, and its sidecar with it. */
    void crash(ModelServer modelServer) {
        if (!modelServer.isRunning()) {
            return;
        }
        modelServer.stop();
        sidecars.onServerStopped(modelServer);
        stopSidecar(modelServer);
        discoveries.get(modelServer.tier).reportChange(listEntry(modelServer, ServerState.GONE));
    }

    private void stopSidecar(ModelServer modelServer) {
        if (modelServer.sidecar != null) {
            modelServer.sidecar.kill();
            modelServer.sidecar = null;
        }
    }

    /** Starts a server's process again, warming up, once its own sidecar is ready. */
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
        sidecars.onServerStarted(modelServer);
        discoveries.get(modelServer.tier).reportChange(listEntry(modelServer, ServerState.READY));
    }

    /** A server collapsed while warming up: it stays down, though its process runs. */
    void onCollapsed(ModelServer modelServer, double byInformed) {
        listener.onServerCollapsed(now(), modelServer, byInformed);
        sidecars.onServerStopped(modelServer);
    }

    /** Drains a model server and ends it later; a new one with another id replaces it. */
    void replace(ModelServer modelServer) {
        if (!modelServer.isRunning()) {
            return;
        }
        modelServer.drain();
        discoveries
                .get(modelServer.tier)
                .reportChange(listEntry(modelServer, ServerState.DRAINING));
        restart(create(modelServer.tier, modelServer.zone));
        // By then every sidecar was notified, and the requests in flight have timed out.
        time.schedule(
                experiment.world().discovery().noticeMs().high() + maxDeadlineMs + KILL_DELAY_MS,
                () -> crash(modelServer));
    }

    // ---- what model servers, clients and hosts ask for ----

    /** A draw from the day's own random numbers. */
    public double draw(Range range) {
        return range.draw(random);
    }

    /** Draws how many calls a request makes to a tier. */
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
        String key = parent.idempotencyKey == null ? null : parent.idempotencyKey + "/" + number;
        return new Call(
                newId(),
                parent.clientRequest,
                tier,
                zone,
                now(),
                until,
                key,
                false,
                mix(parent.seed + number * 0x9E3779B97F4A7C15L));
    }

    /** Records an idempotency key in the server's cell; true if it was seen within the window. */
    boolean recordAndCheckDuplicate(ModelServer modelServer, Call call) {
        double window =
                experiment
                        .world()
                        .classes()
                        .get(call.clientRequest.classIndex)
                        .deduplicationWindowMs();
        Map<String, Double> seen =
                seenKeysByCell.computeIfAbsent(
                        modelServer.tier + "/" + modelServer.cell, cell -> new LinkedHashMap<>());
        var oldest = seen.entrySet().iterator();
        while (oldest.hasNext() && oldest.next().getValue() < now() - window) {
            oldest.remove();
        }
        return seen.putIfAbsent(call.idempotencyKey, now()) != null;
    }

    /** Sends a request to a sidecar; the caller waits until the deadline plus the slack. */
    void send(SidecarPort port, Call call, Consumer<Answer> to) {
        if (port == null) {
            to.accept(Answer.of(Answer.Kind.UNREACHABLE));
            return;
        }
        SimulationClock.Timer alarm =
                time.schedule(
                        call.deadlineMs + slackMs - now(),
                        () -> {
                            if (!call.completed) {
                                call.completed = true;
                                listener.onCallAbandoned(now(), call);
                                port.abandon(call);
                                to.accept(Answer.of(Answer.Kind.FAILED));
                            }
                        });
        port.request(
                call,
                answer -> {
                    if (!call.completed) {
                        call.completed = true;
                        alarm.cancel();
                        listener.onCallAnswered(now(), call, answer);
                        to.accept(answer);
                    }
                });
    }

    /** The caller stops waiting. */
    void abandon(SidecarPort port, Call call) {
        if (!call.completed) {
            call.completed = true;
            listener.onCallAbandoned(now(), call);
            if (port != null) {
                port.abandon(call);
            }
        }
    }

    /**
     * How late the latest arrival was, in milliseconds, and how many arrivals were over 5 ms late.
     */
    public double[] generatorLateness() {
        return clients.lateness();
    }

    FrontProxy frontProxy() {
        return frontProxy;
    }

    Clients clients() {
        return clients;
    }

    SidecarPort frontSidecar(int position) {
        return frontSidecars.get(position);
    }

    /** Whether a client may retry a request of the class after a failure. */
    boolean mayRetryAfterFailure(int kind) {
        RequestClass asked = experiment.world().classes().get(kind);
        return asked.idempotency() == Idempotency.REPEATABLE
                || (asked.idempotency() == Idempotency.BY_KEY
                        && asked.deduplicationScope()
                                == poppynotch.balancer.DeduplicationScope.ALL);
    }

    // ---- what sidecars know ----

    /** Discovery's answer was delivered to a sidecar that sends to the tier. */
    public void onListingDelivered(int sidecar, int tier, Discovery.Listing listing) {
        Map<String, Double> starts =
                knownStartsBySidecar.computeIfAbsent(sidecar, number -> new HashMap<>());
        for (Server server : listing.servers()) {
            if (server.startedMs() > 0) {
                starts.put(server.id(), server.startedMs());
            }
            listener.onServerStateDelivered(
                    now(), sidecar, server.id(), server.state(), server.startedMs());
        }
        if (listing.full()) {
            Set<String> named = new HashSet<>();
            listing.servers().forEach(server -> named.add(server.id()));
            for (ModelServer modelServer : modelServers.get(tier)) {
                if (!named.contains(modelServer.id)) {
                    listener.onServerStateDelivered(
                            now(), sidecar, modelServer.id, ServerState.GONE, 0);
                }
            }
        }
    }

    /** Whether a sidecar knows of a model server's present process. */
    public boolean knowsIncarnation(int sidecar, ModelServer modelServer) {
        return knownStartsBySidecar
                        .getOrDefault(sidecar, Map.of())
                        .getOrDefault(modelServer.id, -1.0)
                >= modelServer.startedMs;
    }

    // ---- the network ----

    void partitionZone(int zone) {
        partitionedZone = zone;
    }

    /** Whether two zones are partitioned from each other at present. */
    public boolean isPartitioned(int from, int to) {
        return partitionedZone >= 0
                && from != to
                && (from == partitionedZone || to == partitionedZone);
    }

    /** Draws the one-way delay of a message between two zones, in milliseconds. */
    public double drawDelayMs(int from, int to) {
        Experiment.Network network = experiment.world().network();
        Range range = from == to ? network.sameZoneMs() : network.crossZoneMs();
        return draw(range) * (1 + network.jitter() * (2 * random.nextDouble() - 1));
    }
}
