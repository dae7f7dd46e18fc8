package poppynotch.lab.socket;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.DoubleConsumer;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.DayScore;
import poppynotch.lab.measure.Result;
import poppynotch.lab.measure.RulesChecker;
import poppynotch.lab.world.CompositeWorldListener;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.Sidecars;
import poppynotch.lab.world.SimulatedDay;
import poppynotch.lab.world.WorldListener;

/**
 * Plays a day in real time: real sidecar processes on loopback, with nodos, discovery, front and
 * clients of the lab's own around them, all on one event loop.
 */
public final class SocketWorld implements Sidecars {

    static final String KIND = "m1";

    /** Up to half a second after its time an answer only earns nothing; later it is lost. */
    private static final double SLACK_MS = 500;

    /** Each limit in time grows by this on sockets. */
    private static final double SIGHT_MS = 50;

    /** What the processes may take, as on the platform's days. */
    private static final int MEMORY_MB = 144;

    private static final int SOCKETS = 1024;

    /** Starting many processes at once takes this long at most. */
    private static final long START_LIMIT_S = 120;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * How sidecars are started.
     *
     * @param command a line for the shell that becomes the sidecar
     * @param folder where it runs
     * @param logs where the processes' logs go, or null for nowhere
     */
    public record Launch(String command, Path folder, Path logs) {}

    /** What a drill adds to the processes of a day. */
    public interface Addition {

        /** Adds nothing. */
        Addition NONE = new Addition() {};

        /** May add to a process's configuration, before it starts. */
        default void configure(Post post, InetSocketAddress listen, ObjectNode config) {}

        /** A process is on its way up. */
        default void started(Post post, CompletableFuture<Process> process) {}

        /** The day has begun: all processes are ready, and clients come. */
        default void begun(Standstill told) {}
    }

    /** Hears of processes that are made to stand still, so that nobody blames them for it. */
    public interface Standstill {
        /** A sidecar, by its number, stands still or goes on. */
        void tell(int sidecar, boolean begins);
    }

    private final Experiment experiment;
    private final Launch launch;
    private final Addition addition;
    private final Path scratch;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final ExecutorService starter =
            Executors.newCachedThreadPool(new DefaultThreadFactory("starter", true));
    private final LoopTime time;
    private final Calls calls;
    private final Map<String, ModelServerSocket> servers = new HashMap<>();

    /** Read by the hook that ends them when this process is ended first. */
    private final List<SidecarProcess> processes = new CopyOnWriteArrayList<>();

    private final List<DiscoveryServer> discoveries = new ArrayList<>();
    private SimulatedDay scene;

    private SocketWorld(Experiment experiment, Launch launch, Addition addition)
            throws IOException {
        this.experiment = experiment;
        this.launch = launch;
        this.addition = addition;
        scratch = Files.createTempDirectory("lab");
        group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("world"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        time = new LoopTime(loop);
        calls = new Calls(experiment);
    }

    /** Plays one day; {@code progress} hears the part that is over, from 0 to 1. */
    public static Result play(
            Experiment experiment,
            long seed,
            Map<String, String> point,
            Launch launch,
            DoubleConsumer progress)
            throws IOException {
        return play(experiment, seed, point, launch, progress, Addition.NONE);
    }

    /** Plays one day with something added to its processes. */
    public static Result play(
            Experiment experiment,
            long seed,
            Map<String, String> point,
            Launch launch,
            DoubleConsumer progress,
            Addition addition)
            throws IOException {
        SocketWorld world = new SocketWorld(experiment, launch, addition);
        Thread ender =
                new Thread(
                        () -> {
                            world.processes.forEach(SidecarProcess::kill);
                            world.removeScratch();
                        },
                        "ender");
        Runtime.getRuntime().addShutdownHook(ender);
        try {
            return world.play(seed, point, progress);
        } finally {
            world.close();
            Runtime.getRuntime().removeShutdownHook(ender);
        }
    }

    private Result play(long seed, Map<String, String> point, DoubleConsumer progress)
            throws IOException {
        DayScore ledger = new DayScore(experiment);
        RulesChecker checker = new RulesChecker(experiment, time, SLACK_MS, SIGHT_MS);
        CompletableFuture<Void> begun = new CompletableFuture<>();
        CompletableFuture<Void> over = new CompletableFuture<>();
        WorldListener start =
                new WorldListener() {
                    @Override
                    public void crashed(double now, int sidecar, String how) {
                        // Before the day has begun there is nothing to judge, and nothing to wait
                        // for.
                        begun.completeExceptionally(
                                new IOException("sidecar " + sidecar + " " + how));
                    }
                };
        loop.execute(
                () -> {
                    try {
                        scene =
                                new SimulatedDay(
                                        experiment,
                                        seed,
                                        time,
                                        SLACK_MS,
                                        new CompositeWorldListener(ledger, checker, start),
                                        this);
                        scene.start(
                                () -> {
                                    ledger.begin(time.now());
                                    checker.begin(time.now());
                                    // What it took before it goes on may be over only a longest
                                    // deadline later.
                                    addition.begun(
                                            (sidecar, begins) ->
                                                    loop.execute(
                                                            () ->
                                                                    time.after(
                                                                            begins
                                                                                    ? 0
                                                                                    : scene
                                                                                                    .longestDeadline()
                                                                                            + SLACK_MS,
                                                                            () ->
                                                                                    checker.sidecar(
                                                                                            time
                                                                                                    .now(),
                                                                                            sidecar,
                                                                                            !begins))));
                                    begun.complete(null);
                                    time.after(
                                            scene.lengthMs() + SLACK_MS, () -> over.complete(null));
                                });
                    } catch (RuntimeException e) {
                        begun.completeExceptionally(e);
                    }
                });
        try {
            begun.get(START_LIMIT_S, TimeUnit.SECONDS);
            double begunAt = time.now();
            while (!over.isDone()) {
                progress.accept(Math.min(1, (time.now() - begunAt) / scene.lengthMs()));
                try {
                    over.get(200, TimeUnit.MILLISECONDS);
                } catch (TimeoutException e) {
                    continue;
                }
            }
            return loop.submit(
                            () -> {
                                double[] late = scene.lateness();
                                if (late[1] > 0) {
                                    ledger.note(
                                            String.format(
                                                    Locale.ROOT,
                                                    "the generator was late for %.0f arrivals, by"
                                                            + " %.1f ms at most",
                                                    late[1],
                                                    late[0]));
                                }
                                if (calls.strays() != null) {
                                    ledger.note(calls.strays());
                                }
                                return ledger.result("socket", "decide", seed, point, checker);
                            })
                    .get();
        } catch (TimeoutException e) {
            throw new IOException(
                    "not all sidecars were ready after "
                            + START_LIMIT_S
                            + " s"
                            + (launch.logs() == null
                                    ? "; --logs FOLDER keeps what they say"
                                    : "; see " + launch.logs()),
                    e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** What is still on its way up ends as soon as it is there; nothing must outlive the day. */
    private void awaitStarter() {
        starter.shutdown();
        try {
            starter.awaitTermination(START_LIMIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void close() {
        loop.submit(
                        () -> {
                            processes.forEach(SidecarProcess::kill);
                            servers.values().forEach(ModelServerSocket::close);
                            discoveries.forEach(DiscoveryServer::close);
                        })
                .awaitUninterruptibly();
        awaitStarter();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        removeScratch();
    }

    private void removeScratch() {
        try (var files = Files.walk(scratch)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            // It is in the system's folder for such files, and no day depends on its end.
        }
    }

    @Override
    public void opened(ModelServer nodo) {
        server(nodo).open();
    }

    @Override
    public void closed(ModelServer nodo) {
        server(nodo).close();
    }

    private ModelServerSocket server(ModelServer nodo) {
        return servers.computeIfAbsent(
                nodo.id,
                id ->
                        new ModelServerSocket(
                                loop,
                                scene,
                                nodo,
                                calls,
                                Addresses.fresh(
                                        10 + nodo.tier, scene.nodos(nodo.tier).indexOf(nodo))));
    }

    private InetSocketAddress addressOf(String nodo) {
        return server(scene.nodo(nodo)).address();
    }

    @Override
    public SidecarPort start(Post post, Runnable ready) {
        try {
            InetSocketAddress listen = Addresses.fresh(1, post.number());
            InetSocketAddress discovery = Addresses.fresh(2, post.number());
            discoveries.add(
                    new DiscoveryServer(
                            loop,
                            scene,
                            post.number(),
                            post.tier(),
                            this::addressOf,
                            time,
                            discovery));
            Path folder = Files.createDirectories(scratch.resolve("n" + post.number()));
            Path config = folder.resolve("config.json");
            ObjectNode told = config(post, listen, discovery);
            addition.configure(post, listen, told);
            Files.writeString(config, told.toString());
            Path kept = Files.createDirectories(folder.resolve("tmp"));
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", launch.command())
                            .directory(launch.folder().toFile());
            builder.environment()
                    .putAll(
                            Map.of(
                                    "GW_NAME",
                                    "n" + post.number(),
                                    "GW_LISTEN",
                                    Addresses.text(listen),
                                    "GW_DISCOVERY",
                                    Addresses.text(discovery),
                                    "GW_CONFIG",
                                    config.toString(),
                                    "TMPDIR",
                                    kept.toString()));
            Path log =
                    launch.logs() == null
                            ? null
                            : Files.createDirectories(launch.logs())
                                    .resolve("n" + post.number() + ".log");
            SidecarProcess process =
                    new SidecarProcess(
                            loop,
                            scene,
                            calls,
                            listen,
                            post.number(),
                            post.zone(),
                            builder,
                            log,
                            starter,
                            ready);
            processes.add(process);
            addition.started(post, process.process());
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException("a sidecar could not be started: " + e.getMessage(), e);
        }
    }

    private ObjectNode config(Post post, InetSocketAddress listen, InetSocketAddress discovery) {
        ObjectNode config = JSON.createObjectNode();
        config.put("name", "n" + post.number());
        config.put("listen", Addresses.text(listen));
        config.put("discovery", Addresses.text(discovery));
        config.put("seed", Long.toHexString(post.seed()));
        config.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", MEMORY_MB)
                .put("sockets", SOCKETS);
        config.set(
                "known",
                DiscoveryServer.json(
                        new poppynotch.lab.world.Discovery.Listing(
                                post.version(), true, post.known()),
                        scene,
                        this::addressOf,
                        time));
        config.set("settings", settings(post));
        return config;
    }

    /** The settings as the simulator's first message gives them. */
    private ObjectNode settings(Post post) {
        Experiment.World world = experiment.world();
        ObjectNode settings = JSON.createObjectNode();
        settings.set("azs", JSON.valueToTree(world.zones()));
        settings.putArray("models").add(KIND);
        ArrayNode classes = settings.putArray("classes");
        for (Experiment.RequestClass kind : world.classes()) {
            classes.addObject()
                    .put("name", kind.name())
                    .put("slo-ms", kind.aimMs())
                    .put("hard-limit-ms", kind.deadlineMs())
                    .put("worth", kind.worth())
                    .put("late-worth", 0.0)
                    .put("effect", kind.effect().name().toLowerCase(Locale.ROOT))
                    .put("group", kind.group().name().toLowerCase(Locale.ROOT))
                    .put("memory-span-ms", kind.windowMs())
                    .put("stream", false);
        }
        ArrayNode tenants = settings.putArray("projects");
        for (Experiment.Tenant tenant : world.tenants()) {
            tenants.addObject()
                    .put("name", tenant.name())
                    .put("allowance-per-s", tenant.allowance())
                    .put("share", tenant.share());
        }
        Experiment.Rules rules = world.rules();
        settings.putObject("limits")
                .put("try-limit", rules.tries())
                .put("parallel-tries", false)
                .put("cancel", true)
                .put("max-retry-after-ms", rules.maxRetryAfterMs())
                .put("retry-after", true)
                .put("dial-timeout-ms", world.network().dialTimeoutMs())
                .put("idle-close-ms", world.network().idleCloseMs())
                .put("multiplex", 1)
                .put("probes", false);
        Experiment.Tier tier = world.tiers().get(post.tier());
        settings.putObject("rules")
                .put("cold-share", tier.coldShare().low())
                .put("cold-ms", tier.coldMs().high())
                .put("tip-multiple", rules.tipMultiple())
                .put("fall-ms", rules.fallMs())
                .put("drain-grace-ms", rules.drainGraceMs())
                .put("ask-within-ms", rules.askWithinMs())
                .put("answer-slack-ms", rules.answerSlackMs());
        settings.putObject("prices").put("cross-zone", rules.crossZonePrice());
        settings.putObject("load-info")
                .put("how", "piggyback")
                .putArray("columns")
                .add("utilization")
                .add("throughput");
        settings.put("membership-mode", "on_request")
                .put("weight-kind", "nominal")
                .put("over-share-worth", 0.05)
                .put("replicas-of-me", post.of())
                .put("slot-no", post.place())
                .put("zone", post.zone())
                .put("tier", post.tier());
        ArrayNode layers = settings.putArray("layers");
        world.tiers().forEach(each -> layers.add(each.name()));
        return settings;
    }
}
