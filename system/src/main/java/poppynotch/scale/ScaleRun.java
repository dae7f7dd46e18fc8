package poppynotch.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import jakarta.json.JsonObject;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import poppynotch.config.ConfigResult;
import poppynotch.router.EdgeServer;
import poppynotch.settings.DeploymentLimits;
import poppynotch.settings.HostPort;
import poppynotch.settings.ProcessSettings;
import poppynotch.wire.RecordChannel;

/**
 * One size of a fleet: hollow edges (the real control code, nobody calls them) in this process,
 * real core processes beside it, and servers that only register. It measures control at rest,
 * changes, an end of a server and the loss of a core process.
 */
public final class ScaleRun implements AutoCloseable {

    private static final int THREADS = 4;
    private static final String LOOP = "hollow-edge";
    private static final int EDGES_PER_NET = 200;
    private static final int HEARTBEAT_MS = 1200;
    private static final int START_S = 90;
    private static final int CHANGES = 12;
    private static final int BURST = 10;
    private static final long BURST_GAP_MS = 300;
    private static final int READINGS = 20;
    private static final double MS_PER_S = 1000;
    private static final double MB = 1e6;
    private static final DeploymentLimits BOUNDS =
            new DeploymentLimits(8000, 0.2, 50, 10_000, 0.1, 100_000, 8000, 0.1, 50);

    /** What to run. */
    public record Plan(
            int edges, int servers, int tenants, int routes, int cores, int idleSeconds) {}

    private final Plan plan;
    private final SharedReader reader = new SharedReader();
    private final Figures figures;
    private final Path folder;
    private final CoreProcesses cores;
    private final HollowServers servers;
    private final EventLoopGroup loops;
    private final List<EdgeServer> edges = new ArrayList<>();
    private long generation;

    ScaleRun(Plan plan, Figures figures) throws IOException {
        this.plan = plan;
        this.figures = figures;
        folder = Files.createTempDirectory("poppynotch-scale");
        int controlPort = freePort();
        int peerPort = freePort();
        cores =
                new CoreProcesses(
                        folder, plan.cores(), controlPort, peerPort, (plan.cores() - 1) / 2);
        loops =
                new MultiThreadIoEventLoopGroup(
                        THREADS, new DefaultThreadFactory(LOOP, true), NioIoHandler.newFactory());
        List<String> controls = cores.controls().stream().map(HostPort::toString).toList();
        servers = new HollowServers(controls, plan.servers(), HEARTBEAT_MS);
        int frontPort = freePort();
        for (int i = 0; i < plan.edges(); i++) {
            edges.add(EdgeServer.start(settings(i, frontPort, peerPort), loops, reader));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.78.1.1"))) {
            return socket.getLocalPort();
        }
    }

    private ProcessSettings settings(int number, int frontPort, int peerPort) {
        String ip = "127.78." + (10 + number / EDGES_PER_NET) + "." + (1 + number % EDGES_PER_NET);
        List<HostPort> seeds = cores.controls().subList(0, Math.min(3, plan.cores()));
        return new ProcessSettings(
                "edge-" + number,
                ip,
                "z",
                Optional.of(new HostPort(ip, frontPort)),
                Optional.empty(),
                Optional.empty(),
                peerPort,
                seeds,
                false,
                Optional.empty(),
                HEARTBEAT_MS,
                1,
                BOUNDS);
    }

    /** Measures everything. */
    void run() throws IOException, InterruptedException {
        long began = System.nanoTime();
        change();
        await(
                "a start",
                START_S,
                edge ->
                        edge.configGeneration() >= generation
                                && edge.knownServerCount() == plan.servers());
        figures.value("start.fleet.all_serve", "s", plan.edges(), secondsSince(began));
        TimeUnit.SECONDS.sleep(3);
        idle();
        costOfReading();
        changes();
        burst();
        endOfServer();
        lossOfCore();
    }

    private static double secondsSince(long began) {
        return (System.nanoTime() - began) / 1e9;
    }

    private String document() {
        StringBuilder json =
                new StringBuilder("{\"Generation\":").append(generation).append(",\"Routes\":[");
        for (int i = 0; i < plan.routes(); i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"Name\":\"r-" + i + "\",\"Authority\":\"h" + i % 7 + ".example\",")
                    .append(
                            "\"PathPrefix\":\"/p"
                                    + i
                                    + "/\",\"RouteType\":\"streaming\",\"TimeoutMs\":5000,")
                    .append("\"Backend\":\"model\",\"MaxAttempts\":2}");
        }
        json.append(
                        "],\"Backends\":[{\"Name\":\"model\",\"Engine\":"
                                + "{\"Slots\":64,\"KvTokens\":500000}}],")
                .append("\"Tenants\":[");
        for (int i = 0; i < plan.tenants(); i++) {
            json.append(i == 0 ? "" : ",")
                    .append(
                            "{\"Name\":\"t-"
                                    + i
                                    + "\",\"ApiKeys\":[\"key-"
                                    + i
                                    + "\"],\"Unit\":\"tokens\",")
                    .append("\"PlainTokens\":200,\"RatePerS\":1000,\"Burst\":2000}");
        }
        return json.append("]}").toString();
    }

    private void change() throws IOException, InterruptedException {
        long before = generation++;
        cores.put(generation, before, document());
    }

    private void await(String what, int seconds, Predicate<EdgeServer> holds)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (EdgeServer edge : edges) {
            while (!holds.test(edge)) {
                if (System.nanoTime() > until) {
                    throw new IOException(
                            what + " with " + plan.edges() + " edges takes over " + seconds + " s");
                }
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
    }

    private void idle() throws IOException, InterruptedException {
        List<Double> coresBefore = cores.processorSeconds();
        double edgesBefore = edgeProcessorSeconds();
        long sent = RecordChannel.bytesSent();
        long received = RecordChannel.bytesReceived();
        List<long[]> coreBytes = coreBytes();
        long began = System.nanoTime();
        TimeUnit.SECONDS.sleep(plan.idleSeconds());
        double took = secondsSince(began);
        List<Double> coresAfter = cores.processorSeconds();
        List<Double> coreShares = new ArrayList<>();
        List<Double> out = new ArrayList<>();
        List<Double> in = new ArrayList<>();
        List<long[]> bytesAfter = coreBytes();
        for (int i = 0; i < plan.cores(); i++) {
            coreShares.add((coresAfter.get(i) - coresBefore.get(i)) / took);
            out.add((bytesAfter.get(i)[0] - coreBytes.get(i)[0]) / took);
            in.add((bytesAfter.get(i)[1] - coreBytes.get(i)[1]) / took);
        }
        int size = plan.edges();
        double perEdge = took * size;
        figures.value(
                "idle.edge.core", "core", size, (edgeProcessorSeconds() - edgesBefore) / perEdge);
        figures.value(
                "idle.edge.bytes_out", "B/s", size, (RecordChannel.bytesSent() - sent) / perEdge);
        figures.value(
                "idle.edge.bytes_in",
                "B/s",
                size,
                (RecordChannel.bytesReceived() - received) / perEdge);
        figures.median("idle.core.core", "core", size, coreShares);
        figures.median("idle.core.rss", "MB", size, cores.memoryMb());
        figures.median("idle.core.bytes_out", "B/s", size, out);
        figures.median("idle.core.bytes_in", "B/s", size, in);
        figures.value("idle.edge.heap", "MB", size, heapPerEdge());
        figures.value("idle.servers.failed", "count", size, (double) servers.failed());
    }

    private List<long[]> coreBytes() throws IOException {
        List<long[]> all = new ArrayList<>();
        for (int i = 0; i < plan.cores(); i++) {
            JsonObject status = cores.status(i);
            all.add(
                    new long[] {
                        status.getJsonNumber("RecordBytesSent").longValue(),
                        status.getJsonNumber("RecordBytesReceived").longValue()
                    });
        }
        return all;
    }

    private static double edgeProcessorSeconds() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        double sum = 0;
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            if (info != null && info.getThreadName().startsWith(LOOP)) {
                sum += threads.getThreadCpuTime(id) / 1e9;
            }
        }
        return sum;
    }

    private double heapPerEdge() {
        System.gc();
        return usedBytes() / MB / plan.edges();
    }

    /** What each real edge does for itself, and hollow ones share. */
    private void costOfReading() {
        byte[] document = reader.latest();
        List<Double> took = new ArrayList<>();
        List<ConfigResult> kept = new ArrayList<>();
        System.gc();
        long before = usedBytes();
        for (int i = 0; i < READINGS; i++) {
            long began = System.nanoTime();
            kept.add(SharedReader.read(document));
            took.add(secondsSince(began) * MS_PER_S);
        }
        System.gc();
        double bytes = (double) (usedBytes() - before) / kept.size();
        figures.median("config.edge.reading", "ms", plan.edges(), took);
        figures.value("config.edge.heap", "MB", plan.edges(), bytes / MB);
        figures.value("config.edge.bytes", "B", plan.edges(), document.length);
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void changes() throws IOException, InterruptedException {
        List<Double> last = new ArrayList<>();
        List<Double> each = new ArrayList<>();
        for (int i = 0; i < CHANGES; i++) {
            long began = System.nanoTime();
            change();
            long wanted = generation;
            for (EdgeServer edge : edges) {
                while (edge.configGeneration() < wanted) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
                each.add(secondsSince(began));
            }
            last.add(secondsSince(began));
        }
        figures.median("change.fleet.in_force_last", "s", plan.edges(), last);
        figures.median("change.edge.in_force", "s", plan.edges(), each);
    }

    private void burst() throws IOException, InterruptedException {
        List<Double> last = new ArrayList<>();
        for (int i = 0; i < BURST; i++) {
            long began = System.nanoTime();
            change();
            await("a change in a burst", START_S, edge -> edge.configGeneration() >= generation);
            last.add(secondsSince(began));
            TimeUnit.MILLISECONDS.sleep(BURST_GAP_MS);
        }
        figures.median("burst.fleet.in_force_last", "s", plan.edges(), last);
    }

    private void endOfServer() throws IOException, InterruptedException {
        // Its registrations go on: who has left must not come back by them.
        long began = System.nanoTime();
        if (!servers.leave(0)) {
            throw new IOException("the end of a server was not taken");
        }
        await(
                "the end of a server",
                START_S,
                edge -> edge.knownServerCount() == plan.servers() - 1);
        figures.value("server_end.fleet.known_last", "s", plan.edges(), secondsSince(began));
    }

    private void lossOfCore() throws IOException, InterruptedException {
        cores.kill(0);
        long began = System.nanoTime();
        change();
        figures.value("core_loss.change.taken", "s", plan.edges(), secondsSince(began));
        await("a change after a loss", START_S, edge -> edge.configGeneration() >= generation);
        figures.value("core_loss.change.in_force_last", "s", plan.edges(), secondsSince(began));
        cores.restart(0);
    }

    @Override
    public void close() throws IOException {
        servers.close();
        cores.close();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly();
        try (var paths = Files.walk(folder)) {
            for (Path path : paths.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /**
     * Runs a plan and adds its figures; what fails is told and leaves what was measured before it.
     */
    static void measure(Plan plan, Figures figures) throws InterruptedException {
        System.err.println("scale: " + plan);
        try (ScaleRun run = new ScaleRun(plan, figures)) {
            run.run();
        } catch (IOException e) {
            System.err.println("scale: " + plan.edges() + " edges: " + e.getMessage());
        }
    }

    /** Runs all plans; after each the file holds the figures so far. */
    public static void measureAll(List<Plan> plans, String command, Path out)
            throws IOException, InterruptedException {
        Figures figures = new Figures(command);
        for (Plan plan : plans) {
            measure(plan, figures);
            Files.writeString(out, figures.json());
        }
    }
}
