package poppynotch.sidecar;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.RequestClass;

/**
 * One sidecar: it builds the parts that serve clients, starts and drains them, and applies changed
 * configurations.
 *
 * <p>All parts run on one event loop, which is the only thread that touches any of them; only the
 * public methods and {@link #stop} may be called from other threads. It holds no buffers.
 */
public final class Sidecar {

    /**
     * What a process inherits from the one before it.
     *
     * @param folder a folder that is kept over an upgrade, or null
     * @param listener the clients' listening socket, shared with the processes before and after
     *     this one; or null
     */
    public record Inherited(Path folder, ServerSocketChannel listener) {}

    /** One small arena: messages have a few hundred bytes, and memory is limited. */
    static final ByteBufAllocator BUFFERS =
            new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);

    /**
     * The memory that incomplete request bodies may take of each MB: an eighth. The heap is less
     * than half of the memory, and up to 256 calls in flight may need two thirds of it for their
     * bodies and responses.
     */
    private static final int PENDING_BODY_BYTES_PER_MB = 128 * 1024;

    /**
     * The limit of one read: high enough for a large body to need few reads, low enough that little
     * is read beyond what can be passed on.
     */
    static final int MAX_BYTES_PER_READ = 32 * 1024;

    static final RecvByteBufAllocator RECEIVE_BUFFERS =
            new AdaptiveRecvByteBufAllocator(64, 2048, MAX_BYTES_PER_READ);

    /** The pending bytes of a channel at which reading from the other side resumes and stops. */
    static final WriteBufferWaterMark WRITE_WATER_MARKS =
            new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    /**
     * Descriptors reserved for files, selectors, the listener, discovery, and clients that are only
     * rejected. Clients may use a third of all descriptors for requests, so their limit, which is
     * half of the unreserved ones, must not be lower.
     */
    private static final int RESERVED_SOCKETS = 80;

    private static final int MIN_CONNECTIONS = 8;

    /**
     * How long after the admin call {@code standby} idle connections are closed. It is required
     * that 4 s after the call no connection is idle or has had a request in the last 2 s. From
     * {@link ShutdownPlan#LATE_CONNECTION_MS} on each response is the last on its connection, so
     * one that is idle when this delay ends has had no request since then.
     */
    private static final int CLOSE_IDLE_DELAY_MS = 2000;

    private static final int DRAIN_POLL_INTERVAL_MS = 10;

    /**
     * Maintenance that operators set in one process must apply in the other within the grace
     * period, 0.25 s here.
     */
    private static final int OTHER_PROCESS_POLL_INTERVAL_MS = 50;

    /**
     * How long a new process waits for discovery: it must be ready within 6 s even without a
     * response.
     */
    private static final int MAX_DISCOVERY_WAIT_MS = 2000;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private RateLimitedLog log;

    private ShutdownPlan shutdownPlan;
    private DiscoveryClient discovery;
    private Frontend frontend;
    private AdminServer adminServer;
    private Maintenance maintenance;

    /** Null if the configuration names no fleet; its classes are not loaded then. */
    private FleetMember fleet;

    private volatile SidecarConfig config;
    private EndpointPool endpointPool;
    private int maxSockets;

    /** Other processes listen for clients on the same socket. */
    private boolean listenerInherited;

    /** Discovery has responded since the start, or the time to wait for it has passed. */
    private boolean discoveryAnswered;

    private InetSocketAddress address;
    private Exchange exchange;

    private Sidecar() {
        group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("sidecar"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /**
     * Builds a sidecar and starts to listen.
     *
     * @param output where log lines go
     * @throws IOException with a message for operators, if an address cannot be listened on
     */
    public static Sidecar start(SidecarConfig config, Inherited inherited, PrintStream output)
            throws IOException {
        Sidecar sidecar = new Sidecar();
        try {
            sidecar.loop
                    .submit(() -> sidecar.build(config, inherited, output))
                    .syncUninterruptibly();
            sidecar.listenForClients(config.listenAddress(), inherited.listener());
            if (config.adminAddress() != null) {
                sidecar.awaitBound(
                        sidecar.adminServer.listen(config.adminAddress()), config.adminAddress());
            }
            output.println(
                    "poppynotch: Sidecar listening: clientAddress="
                            + sidecar.address
                            + (config.adminAddress() == null
                                    ? ""
                                    : ", adminAddress=" + sidecar.adminAddress()));
            if (inherited.listener() != null) {
                sidecar.followOtherProcess(inherited.folder());
            }
            if (config.fleetSection() != null) {
                sidecar.fleet.start(
                        sidecar.loop, sidecar.adminAddressText(), sidecar::phase, sidecar.log);
            }
            sidecar.warmUp(config, output);
            return sidecar;
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void listenForClients(InetSocketAddress wanted, ServerSocketChannel inherited)
            throws IOException, InterruptedException {
        ChannelFuture binding =
                inherited == null ? frontend.listen(wanted) : frontend.adopt(inherited);
        awaitBound(binding, wanted);
        address = (InetSocketAddress) binding.channel().localAddress();
    }

    private void awaitBound(ChannelFuture binding, InetSocketAddress wanted)
            throws IOException, InterruptedException {
        if (!binding.await().isSuccess()) {
            stop();
            throw new IOException(
                    "cannot listen on " + wanted + ": " + binding.cause().getMessage());
        }
    }

    private void build(SidecarConfig initialConfig, Inherited inherited, PrintStream output) {
        config = initialConfig;
        if (config.fleetSection() != null) {
            // Checked before anything may log: an invalid section ends the process with one line.
            FleetMember.validate(config);
        }
        MonotonicClock clock = new MonotonicClock();
        log = new RateLimitedLog(clock, output);
        listenerInherited = inherited.listener() != null;
        shutdownPlan = ShutdownPlan.of(config.settings().classes());
        maxSockets = config.maxSockets();
        int maxConnections = connectionLimit(0);
        endpointPool =
                new EndpointPool(
                        loop,
                        clock,
                        log,
                        config.settings().limits().connectTimeoutMs(),
                        config.idleCloseMs(),
                        maxConnections);
        discovery =
                new DiscoveryClient(
                        loop,
                        config.discoveryAddress(),
                        config.names(),
                        !config.settings().mustRequestList(),
                        log,
                        config.seed());
        discovery.start();
        exchange = new Exchange(loop, clock, log, endpointPool, discovery::watch, config);
        fleet = config.fleetSection() == null ? null : new FleetMember(config, exchange, log);
        discovery.setListener(
                list -> {
                    exchange.onServerList(list);
                    onDiscoveryAnswered();
                },
                config.knownEndpoints().version());
        maintenance = new Maintenance(exchange, log, inherited.folder());
        maintenance.restore();
        frontend =
                new Frontend(
                        loop,
                        clock,
                        log,
                        exchange,
                        config.settings(),
                        maxConnections,
                        pendingBodyBytes(config.memoryMb()));
        adminServer = new AdminServer(loop, log, new AdminOperations());
    }

    /** The memory for bodies of pending requests; as much as an int can hold if it is larger. */
    private static int pendingBodyBytes(int memoryMb) {
        return (int) Math.min(Integer.MAX_VALUE, (long) memoryMb * PENDING_BODY_BYTES_PER_MB);
    }

    /**
     * The limit on client connections, and equally on endpoint connections, while the other process
     * of an upgrade has the given number of descriptors open.
     */
    private int connectionLimit(int otherDescriptors) {
        return Math.max(MIN_CONNECTIONS, (maxSockets - RESERVED_SOCKETS - otherDescriptors) / 2);
    }

    /**
     * Follows the other process of an upgrade while there may be two: maintenance set there applies
     * here too, and both share the limits. Updates of endpoints must be applied soon after this
     * process reports that it is ready, so it calls discovery at once.
     */
    private void followOtherProcess(Path folder) {
        loop.execute(
                () -> {
                    ProcessFiles processFiles = openProcessFiles(folder);
                    discovery.callNow();
                    loop.schedule(
                            this::onDiscoveryAnswered,
                            MAX_DISCOVERY_WAIT_MS,
                            TimeUnit.MILLISECONDS);
                    if (processFiles != null) {
                        loop.scheduleWithFixedDelay(
                                () -> followOtherProcess(processFiles),
                                0,
                                OTHER_PROCESS_POLL_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Returns null if there is no folder, or it cannot be used. */
    private ProcessFiles openProcessFiles(Path folder) {
        try {
            return folder == null ? null : new ProcessFiles(folder);
        } catch (IOException e) {
            log.warn("Other process of upgrade not followed: cause", e);
            return null;
        }
    }

    /** Records that discovery has responded, or that the time to wait for it has passed. */
    private void onDiscoveryAnswered() {
        discoveryAnswered = true;
        acceptIfReady();
    }

    private void followOtherProcess(ProcessFiles processFiles) {
        maintenance.applyChangesFromFiles();
        int maxConnections = connectionLimit(processFiles.countOtherDescriptors());
        frontend.setMaxConnections(maxConnections);
        endpointPool.setMaxConnections(maxConnections);
    }

    /**
     * Accepts from a shared listener once this process can serve; until then another one accepts.
     */
    private void acceptIfReady() {
        if (listenerInherited
                && !frontend.isShuttingDown()
                && discoveryAnswered
                && frontend.isWarm()
                && exchange.knowsEndpoints()) {
            frontend.accept();
        }
    }

    private void warmUp(SidecarConfig config, PrintStream output) {
        long startNanos = System.nanoTime();
        loop.execute(
                () ->
                        new Warmup(loop, config, rounds -> onWarm(rounds, startNanos, output))
                                .start());
    }

    private void onWarm(int rounds, long startNanos, PrintStream output) {
        frontend.markWarm();
        acceptIfReady();
        long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
        output.println("poppynotch: warm after " + elapsedMs + " ms and " + rounds + " rounds");
    }

    /**
     * Answers all requests that are in flight or still arrive, then stops the sidecar and returns.
     * Open connections are served for as long as a request can be answered before SIGKILL, as
     * clients keep using them and another sidecar may be down too. Must not be called on the event
     * loop.
     */
    public void drain() {
        CountDownLatch empty = new CountDownLatch(1);
        loop.execute(() -> startDrain(empty));
        try {
            empty.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.info("drained");
        stop();
    }

    private void startDrain(CountDownLatch empty) {
        log.info("draining: requestsInFlight=" + exchange.openRequestCount());
        if (fleet != null) {
            fleet.leave();
        }
        frontend.shutDownWithin(shutdownPlan.timeoutMs());
        long closeDelayMs = (long) shutdownPlan.closeAfterResponseDelayMs();
        // If another process listens too, clients are moved there with their next response.
        frontend.drain(listenerInherited ? 0 : closeDelayMs, closeDelayMs);
        if (listenerInherited) {
            frontend.closeListener();
        }
        loop.schedule(
                frontend::closeListener, ShutdownPlan.LATE_CONNECTION_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                () -> {
                    if (frontend.hasNoConnections() && exchange.openRequestCount() == 0) {
                        empty.countDown();
                    }
                },
                closeDelayMs,
                DRAIN_POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Applies a changed file, which may change discovery's address and the settings. An invalid
     * file changes nothing and is logged.
     */
    public void reload(Path file) {
        try {
            SidecarConfig read = config.readSuccessor(file);
            loop.execute(() -> applyConfig(read));
        } catch (IOException | RuntimeException e) {
            loop.execute(
                    () -> log.warn("the new configuration is not taken up: cause", e.getMessage()));
        }
    }

    /**
     * Applies a configuration. Requests in flight keep their classes, and sidecars of later tiers
     * still receive calls in these classes: so a dropped class is served until the last of these
     * requests is over.
     */
    private void applyConfig(SidecarConfig next) {
        Set<String> names = new TreeSet<>();
        next.settings().classes().forEach(requestClass -> names.add(requestClass.name()));
        List<RequestClass> dropped =
                config.settings().classes().stream()
                        .filter(requestClass -> !names.contains(requestClass.name()))
                        .toList();
        config = next;
        BalancerSettings settings = next.settings();
        List<RequestClass> all = new ArrayList<>(settings.classes());
        all.addAll(dropped);
        applySettings(settings.withClasses(all));
        if (!dropped.isEmpty()) {
            loop.schedule(
                    () -> {
                        if (config == next) {
                            applySettings(settings);
                        }
                    },
                    (long) Math.ceil(ShutdownPlan.longestDeadlineMs(dropped)),
                    TimeUnit.MILLISECONDS);
        }
        endpointPool.configure(settings.limits().connectTimeoutMs(), next.idleCloseMs());
        discovery.reconfigure(next.discoveryAddress(), next.names(), !settings.mustRequestList());
        log.info("a new configuration is taken up, with the classes " + String.join(", ", names));
    }

    private void applySettings(BalancerSettings settings) {
        frontend.applySettings(settings);
        exchange.applySettings(settings);
        shutdownPlan = ShutdownPlan.of(settings.classes());
    }

    /** Carries out the calls of operators. */
    private final class AdminOperations implements AdminServer.Operations {

        @Override
        public String status() {
            return frontend.notReadyReason();
        }

        @Override
        public String setMaintenance(String id, boolean out) {
            return maintenance.set(id, out);
        }

        @Override
        public String members() {
            return fleet == null ? null : fleet.members();
        }

        @Override
        public String leases() {
            return fleet == null ? null : fleet.leases();
        }

        @Override
        public String sharedState() {
            return fleet == null ? null : fleet.sharedState();
        }

        @Override
        public String standby() {
            // A repeated call must not restart the timers of the first one.
            if (!frontend.isDraining()) {
                frontend.drain(ShutdownPlan.LATE_CONNECTION_MS, CLOSE_IDLE_DELAY_MS);
            }
            return null;
        }

        @Override
        public String active() {
            if (frontend.isShuttingDown()) {
                return "this process is ending";
            }
            frontend.resume();
            return null;
        }
    }

    /** The event loop on which all parts run. */
    EventLoop loop() {
        return loop;
    }

    /** Where clients connect. */
    InetSocketAddress address() {
        return address;
    }

    /** Where operators connect. */
    InetSocketAddress adminAddress() {
        return adminServer.address();
    }

    /** Where operators connect, or empty if they cannot. */
    private String adminAddressText() {
        if (config.adminAddress() == null) {
            return "";
        }
        InetSocketAddress bound = adminAddress();
        return bound.getAddress().getHostAddress() + ":" + bound.getPort();
    }

    /** The phase of this process that its fleet sees, by the name of the fleet's enum. */
    private String phase() {
        if (frontend.isShuttingDown()) {
            return "DRAINING";
        }
        if (frontend.isDraining()) {
            return "STANDBY";
        }
        return frontend.notReadyReason() == null ? "READY" : "STARTING";
    }

    /** Stops the event loop at once; may be called from any thread. */
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
