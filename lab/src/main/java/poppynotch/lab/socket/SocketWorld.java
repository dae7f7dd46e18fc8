package poppynotch.lab.socket;

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
import poppynotch.lab.world.Discovery;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.Sidecars;
import poppynotch.lab.world.SimulatedDay;
import poppynotch.lab.world.WorldListener;

/**
 * Plays a day in real time: real sidecar processes on loopback, surrounded by model servers,
 * discovery, front and clients that the lab simulates on one event loop.
 *
 * <p>{@link #play} makes it, waits for the end of the day on the caller's thread, and ends all
 * processes and closes all sockets, also where this process is ended by a signal. Everything else
 * runs on the event loop, other than starting processes, which would block it.
 */
public final class SocketWorld implements Sidecars {

    static final String MODEL = "m1";

    /** Up to this long after its deadline a response only has no value; later it counts as lost. */
    private static final double SLACK_MS = 500;

    /** The limits of all rules on time are looser by this, as real processes are observed late. */
    private static final double TIMING_TOLERANCE_MS = 50;

    /** A start of many processes at once takes less than this. */
    private static final long START_TIMEOUT_S = 120;

    private static final int LISTEN_ADDRESS_GROUP = 1;
    private static final int DISCOVERY_ADDRESS_GROUP = 2;

    /** Model servers of a tier are in the group of this number plus the tier's. */
    private static final int MODEL_SERVER_ADDRESS_GROUPS = 10;

    private static final int PROGRESS_INTERVAL_MS = 200;

    /**
     * How sidecars are started.
     *
     * @param command a line for the shell, whose process becomes the sidecar
     * @param folder the working directory
     * @param logs the folder for the processes' logs, or null to discard them
     */
    public record Launch(String command, Path folder, Path logs) {}

    /** Callbacks by which a drill changes and follows the processes of a day. */
    public interface ProcessHooks {

        /** Adds nothing. */
        ProcessHooks NONE = new ProcessHooks() {};

        /** May add to a process's configuration, before it starts. */
        default void configure(Placement post, InetSocketAddress listen, ObjectNode config) {}

        /** A process is being started; the future completes once it runs. */
        default void onStart(Placement post, CompletableFuture<Process> process) {}

        /** The day has begun: all processes are ready, and clients send requests. */
        default void onBegin(PauseListener listener) {}
    }

    /** Is notified of processes that a drill pauses, so that no rule counts as broken by them. */
    public interface PauseListener {
        /** A sidecar, by its number, is about to be paused or resumed; from any thread. */
        void onPause(int sidecar, boolean begins);
    }

    private final Experiment experiment;
    private final Launch launch;
    private final ProcessHooks addition;
    private final Path scratch;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final ExecutorService starter =
            Executors.newCachedThreadPool(new DefaultThreadFactory("starter", true));
    private final LoopTime time;
    private final CallRegistry calls;
    private final SidecarConfig sidecarConfig;
    private final Map<String, ModelServerSocket> servers = new HashMap<>();

    /** Read by the shutdown hook too, which ends them when this process is ended first. */
    private final List<SidecarProcess> processes = new CopyOnWriteArrayList<>();

    private final List<DiscoveryServer> discoveries = new ArrayList<>();
    private SimulatedDay day;

    private SocketWorld(Experiment experiment, Launch launch, ProcessHooks addition)
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
        calls = new CallRegistry(experiment);
        sidecarConfig = new SidecarConfig(experiment);
    }

    /**
     * Plays one day.
     *
     * @param point values of the keys that a campaign varies, for the result
     * @param progress is called with the fraction of the day that is over, from 0 to 1
     * @throws IOException if a sidecar ends before the day begins, is not ready in time, or the
     *     thread is interrupted
     */
    public static Result play(
            Experiment experiment,
            long seed,
            Map<String, String> point,
            Launch launch,
            DoubleConsumer progress)
            throws IOException {
        return play(experiment, seed, point, launch, progress, ProcessHooks.NONE);
    }

    /** Plays one day with callbacks for its processes; else as the other. */
    public static Result play(
            Experiment experiment,
            long seed,
            Map<String, String> point,
            Launch launch,
            DoubleConsumer progress,
            ProcessHooks addition)
            throws IOException {
        SocketWorld world = new SocketWorld(experiment, launch, addition);
        Thread shutdownHook =
                new Thread(
                        () -> {
                            world.processes.forEach(SidecarProcess::kill);
                            world.removeScratch();
                        },
                        "ender");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            return world.play(seed, point, progress);
        } finally {
            world.close();
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
    }

    private Result play(long seed, Map<String, String> point, DoubleConsumer progress)
            throws IOException {
        DayScore score = new DayScore(experiment);
        RulesChecker checker = new RulesChecker(experiment, time, SLACK_MS, TIMING_TOLERANCE_MS);
        CompletableFuture<Void> begun = new CompletableFuture<>();
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.execute(() -> startDay(seed, score, checker, begun, over));
        try {
            begun.get(START_TIMEOUT_S, TimeUnit.SECONDS);
            awaitEnd(over, progress);
            return loop.submit(() -> result(score, checker, seed, point)).get();
        } catch (TimeoutException e) {
            throw new IOException(
                    "not all sidecars were ready after "
                            + START_TIMEOUT_S
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

    private void startDay(
            long seed,
            DayScore score,
            RulesChecker checker,
            CompletableFuture<Void> begun,
            CompletableFuture<Void> over) {
        WorldListener startFailures =
                new WorldListener() {
                    @Override
                    public void onSidecarCrashed(double now, int sidecar, String how) {
                        // Ignored once the day has begun: then the rules judge it.
                        begun.completeExceptionally(
                                new IOException("sidecar " + sidecar + " " + how));
                    }
                };
        try {
            day =
                    new SimulatedDay(
                            experiment,
                            seed,
                            time,
                            SLACK_MS,
                            new CompositeWorldListener(score, checker, startFailures),
                            this);
            day.start(
                    () -> {
                        score.start(time.now());
                        checker.start(time.now());
                        addition.onBegin(
                                (sidecar, begins) ->
                                        loop.execute(() -> onPause(checker, sidecar, begins)));
                        begun.complete(null);
                        time.schedule(day.lengthMs() + SLACK_MS, () -> over.complete(null));
                    });
        } catch (RuntimeException e) {
            begun.completeExceptionally(e);
        }
    }

    /**
     * Requests that a sidecar accepted before it was resumed may be late until the longest deadline
     * is over, so it is only checked again after that.
     */
    private void onPause(RulesChecker checker, int sidecar, boolean begins) {
        time.schedule(
                begins ? 0 : day.maxDeadlineMs() + SLACK_MS,
                () -> checker.onSidecarStateChanged(time.now(), sidecar, !begins));
    }

    private void awaitEnd(CompletableFuture<Void> over, DoubleConsumer progress)
            throws InterruptedException, ExecutionException {
        double begunAt = time.now();
        while (!over.isDone()) {
            progress.accept(Math.min(1, (time.now() - begunAt) / day.lengthMs()));
            try {
                over.get(PROGRESS_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                // The day goes on.
            }
        }
    }

    private Result result(
            DayScore score, RulesChecker checker, long seed, Map<String, String> point) {
        double[] late = day.generatorLateness();
        if (late[1] > 0) {
            score.addNote(
                    String.format(
                            Locale.ROOT,
                            "the generator was late for %.0f arrivals, by %.1f ms at most",
                            late[1],
                            late[0]));
        }
        if (calls.straySummary() != null) {
            score.addNote(calls.straySummary());
        }
        return score.result("socket", "decide", seed, point, checker);
    }

    /** Waits for processes that are being started: they are killed once they run. */
    private void awaitStarter() {
        starter.shutdown();
        try {
            starter.awaitTermination(START_TIMEOUT_S, TimeUnit.SECONDS);
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
    public void onServerStarted(ModelServer modelServer) {
        server(modelServer).open();
    }

    @Override
    public void onServerStopped(ModelServer modelServer) {
        server(modelServer).close();
    }

    private ModelServerSocket server(ModelServer modelServer) {
        return servers.computeIfAbsent(
                modelServer.id,
                id ->
                        new ModelServerSocket(
                                loop,
                                day,
                                modelServer,
                                calls,
                                LoopbackAddresses.allocate(
                                        MODEL_SERVER_ADDRESS_GROUPS + modelServer.tier,
                                        day.modelServers(modelServer.tier).indexOf(modelServer))));
    }

    private InetSocketAddress addressOf(String modelServerId) {
        return server(day.modelServer(modelServerId)).address();
    }

    @Override
    public SidecarPort start(Placement post, Runnable ready) {
        try {
            InetSocketAddress listen =
                    LoopbackAddresses.allocate(LISTEN_ADDRESS_GROUP, post.number());
            InetSocketAddress discovery =
                    LoopbackAddresses.allocate(DISCOVERY_ADDRESS_GROUP, post.number());
            discoveries.add(
                    new DiscoveryServer(
                            loop,
                            day,
                            post.number(),
                            post.tier(),
                            this::addressOf,
                            time,
                            discovery));
            Path folder = Files.createDirectories(scratch.resolve("n" + post.number()));
            ObjectNode content = sidecarConfig.of(post, listen, discovery, known(post));
            addition.configure(post, listen, content);
            ProcessBuilder builder = processBuilder(post, listen, discovery, folder, content);
            builder.redirectErrorStream(true).redirectOutput(output(post));
            SidecarProcess process = new SidecarProcess(loop, day, calls, listen, post);
            process.start(builder, starter, ready);
            processes.add(process);
            addition.onStart(post, process.process());
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException("a sidecar could not be started: " + e.getMessage(), e);
        }
    }

    private ProcessBuilder processBuilder(
            Placement post,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            Path folder,
            ObjectNode content)
            throws IOException {
        Path config = Files.writeString(folder.resolve("config.json"), content.toString());
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", launch.command())
                        .directory(launch.folder().toFile());
        builder.environment()
                .putAll(
                        Map.of(
                                "GW_NAME",
                                "n" + post.number(),
                                "GW_LISTEN",
                                LoopbackAddresses.format(listen),
                                "GW_DISCOVERY",
                                LoopbackAddresses.format(discovery),
                                "GW_CONFIG",
                                config.toString(),
                                "TMPDIR",
                                temporary.toString()));
        return builder;
    }

    private ProcessBuilder.Redirect output(Placement post) throws IOException {
        if (launch.logs() == null) {
            return ProcessBuilder.Redirect.DISCARD;
        }
        Path logs = Files.createDirectories(launch.logs());
        return ProcessBuilder.Redirect.to(logs.resolve("n" + post.number() + ".log").toFile());
    }

    private ObjectNode known(Placement post) {
        return DiscoveryServer.json(
                new Discovery.Listing(post.knownVersion(), true, post.knownServers()),
                day,
                this::addressOf,
                time);
    }
}
