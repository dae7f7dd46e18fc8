package poppynotch.sidecar;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
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
 * One real sidecar: its parts on one event loop, which is the only thread that touches any of them.
 */
public final class Sidecar {

    /**
     * What outlasts a process.
     *
     * @param folder a folder that is kept over an upgrade, or null where there is none
     * @param listener where clients connect, shared with the processes before and after this one;
     *     else null
     */
    public record Inherited(Path folder, ServerSocketChannel listener) {}

    /** One small arena: messages are of a few hundred bytes, and memory is tight. */
    static final ByteBufAllocator BUFFERS =
            new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);

    /**
     * Of each MB, what bodies that are still to come may take: an eighth. The heap is less than
     * half of all, and calls in hand, 256 at most, may need two thirds of that for their bodies and
     * answers.
     */
    private static final int HELD_PER_MB = 128 * 1024;

    /**
     * What is read at once: a large body comes in few reads, and little is read beyond what can go
     * on.
     */
    static final RecvByteBufAllocator READS = new AdaptiveRecvByteBufAllocator(64, 2048, 32 * 1024);

    /**
     * What may wait to be written before the other side is read no further, and when it is again.
     */
    static final WriteBufferWaterMark WINDOW = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    /**
     * Descriptors for files, selectors, the listener, discovery, and clients that are only refused.
     * Clients may use a third of all for requests, which half of the rest must not fall short of.
     */
    private static final int SPARE_SOCKETS = 80;

    /**
     * New connections still come for 0.4 s after a drain began at most: until then they are
     * welcome.
     */
    private static final int LINGER_MS = 600;

    /**
     * Operators send clients away: 4 s after that no connection may be idle, or have a request of
     * the last 2 s. Those that got no answer since the end of the time above have been idle for as
     * long by then.
     */
    private static final int LET_GO_MS = 2000;

    /**
     * SIGKILL comes no sooner than this after the longest deadline, which counts as 3 s at most.
     */
    private static final double KILL_AFTER_MS = 700;

    private static final double LONGEST_COUNTED_MS = 3000;

    /** Kept free before SIGKILL: all must be answered by then. */
    private static final double KILL_MARGIN_MS = 200;

    private static final int EMPTY_POLL_MS = 10;

    /**
     * What one process is told of maintenance must bind the other within the grace, of 0.25 s here.
     */
    private static final int FOLLOW_MS = 50;

    /** A new process must say yes within 6 s, also where discovery has no answer for it. */
    private static final int LONGEST_UNINFORMED_MS = 2000;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private RateLimitedLog complaints;

    /** After SIGTERM, when the last request must be answered, and when none is taken any more. */
    private double killMs;

    private double lastCallMs;
    private DiscoveryClient discovery;
    private Frontend frontend;
    private AdminServer management;
    private Maintenance maintenance;

    /** Null where the configuration names no fleet: then nothing of it is loaded. */
    private FleetMember fleet;

    private volatile SidecarConfig config;
    private EndpointPool endpoints;
    private int sockets;

    /** Other processes listen to clients on the same socket. */
    private boolean shared;

    /** Discovery has answered since the start, or had its time to. */
    private boolean informed;

    private InetSocketAddress address;
    private Exchange exchange;

    private Sidecar() {
        group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("sidecar"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /** Starts to listen; what goes wrong is an exception whose message says so plainly. */
    public static Sidecar start(SidecarConfig config, Inherited inherited, PrintStream log)
            throws IOException {
        Sidecar sidecar = new Sidecar();
        try {
            sidecar.loop.submit(() -> sidecar.build(config, inherited, log)).syncUninterruptibly();
            Channel clients =
                    sidecar.bound(
                                    inherited.listener() == null
                                            ? sidecar.frontend.listen(config.listen())
                                            : sidecar.frontend.adopt(inherited.listener()),
                                    config.listen())
                            .channel();
            if (config.management() != null) {
                sidecar.bound(sidecar.management.listen(config.management()), config.management());
            }
            sidecar.address = (InetSocketAddress) clients.localAddress();
            log.println(
                    "poppynotch: clients connect to "
                            + sidecar.address
                            + (config.management() == null
                                    ? ""
                                    : ", operators to " + sidecar.managementAddress()));
            if (inherited.listener() != null) {
                sidecar.follow(inherited.folder());
            }
            if (config.fleet() != null) {
                sidecar.fleet.start(
                        sidecar.loop, sidecar.managementText(), sidecar::phase, sidecar.complaints);
            }
            sidecar.warm(config, log);
            return sidecar;
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private ChannelFuture bound(ChannelFuture binding, InetSocketAddress address)
            throws IOException, InterruptedException {
        if (!binding.await().isSuccess()) {
            stop();
            throw new IOException(
                    "cannot listen on " + address + ": " + binding.cause().getMessage());
        }
        return binding;
    }

    private void build(SidecarConfig given, Inherited inherited, PrintStream log) {
        config = given;
        MonotonicClock clock = new MonotonicClock();
        complaints = new RateLimitedLog(clock, log);
        shared = inherited.listener() != null;
        planEnd(config.settings().classes());
        sockets = config.sockets();
        int half = half(0);
        endpoints =
                new EndpointPool(
                        loop,
                        clock,
                        complaints,
                        config.settings().limits().connectTimeoutMs(),
                        config.idleCloseMs(),
                        half);
        discovery =
                new DiscoveryClient(
                        loop,
                        config.discovery(),
                        config.names(),
                        !config.settings().asksForList(),
                        complaints,
                        config.seed());
        discovery.start();
        exchange = new Exchange(loop, clock, complaints, endpoints, discovery::watch, config);
        fleet = config.fleet() == null ? null : new FleetMember(config, exchange, complaints);
        discovery.listen(
                list -> {
                    exchange.onServerList(list);
                    informed = true;
                    acceptIfReady();
                },
                config.known().version());
        maintenance = new Maintenance(exchange, complaints, inherited.folder());
        maintenance.restore();
        frontend =
                new Frontend(
                        loop,
                        clock,
                        complaints,
                        exchange,
                        config.settings(),
                        half,
                        config.memoryMb() * HELD_PER_MB);
        management = new AdminServer(loop, complaints, new Operators());
    }

    /**
     * The connections that clients, and endpoints, may have, where others hold so many descriptors.
     */
    private int half(int othersHold) {
        return Math.max(8, (sockets - SPARE_SOCKETS - othersHold) / 2);
    }

    /**
     * For as long as there may be two processes: what operators said to the other binds this one
     * too, and the limits are for both. News of endpoints binds soon after this process says that
     * it serves, so it asks at once.
     */
    private void follow(Path folder) {
        loop.execute(
                () -> {
                    Handover handover = null;
                    try {
                        handover = folder == null ? null : new Handover(folder);
                    } catch (IOException e) {
                        complaints.warn("the other process of an upgrade cannot be followed", e);
                    }
                    discovery.ask();
                    loop.schedule(
                            () -> {
                                informed = true;
                                acceptIfReady();
                            },
                            LONGEST_UNINFORMED_MS,
                            TimeUnit.MILLISECONDS);
                    if (handover != null) {
                        Handover other = handover;
                        loop.scheduleWithFixedDelay(
                                () -> follow(other), 0, FOLLOW_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void follow(Handover other) {
        maintenance.follow();
        int half = half(other.othersDescriptors());
        frontend.setMaxConnections(half);
        endpoints.setMaxConnections(half);
    }

    /**
     * A process that shares its listener accepts once it can serve: until then another one does.
     */
    private void acceptIfReady() {
        if (shared
                && !frontend.isShuttingDown()
                && informed
                && frontend.isWarm()
                && exchange.knowsEndpoints()) {
            frontend.accept();
        }
    }

    private void warm(SidecarConfig config, PrintStream log) {
        long began = System.nanoTime();
        loop.execute(
                () ->
                        new Warmup(
                                        loop,
                                        config,
                                        rounds -> {
                                            frontend.markWarm();
                                            acceptIfReady();
                                            log.println(
                                                    "poppynotch: warm after "
                                                            + (System.nanoTime() - began)
                                                                    / 1_000_000
                                                            + " ms and "
                                                            + rounds
                                                            + " rounds");
                                        })
                                .start());
    }

    /**
     * Answers all that is in hand and still comes in, then returns; the sidecar has nothing left to
     * do. Clients go on using the connections they have, and another sidecar may be out too: these
     * are served for as long as a request can still be answered before SIGKILL.
     */
    public void drain() {
        CountDownLatch empty = new CountDownLatch(1);
        loop.execute(
                () -> {
                    complaints.info(
                            "draining, with " + exchange.openRequestCount() + " requests in hand");
                    if (fleet != null) {
                        fleet.leave();
                    }
                    frontend.shutDownWithin(killMs);
                    // Where another process listens too, clients do best to move there with their
                    // next answer.
                    frontend.drain(shared ? 0 : (long) lastCallMs, (long) lastCallMs);
                    if (shared) {
                        frontend.closeListener();
                    }
                    loop.schedule(frontend::closeListener, LINGER_MS, TimeUnit.MILLISECONDS);
                    loop.scheduleWithFixedDelay(
                            () -> {
                                if (frontend.hasNoConnections()
                                        && exchange.openRequestCount() == 0) {
                                    empty.countDown();
                                }
                            },
                            (long) lastCallMs,
                            EMPTY_POLL_MS,
                            TimeUnit.MILLISECONDS);
                });
        try {
            empty.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        complaints.info("drained");
        stop();
    }

    /**
     * Takes up a changed file: discovery and the settings may be others. A bad one changes nothing.
     */
    public void reload(Path file) {
        try {
            SidecarConfig read = config.next(file);
            loop.execute(() -> take(read));
        } catch (IOException | RuntimeException e) {
            loop.execute(
                    () -> complaints.warn("the new configuration is not taken up", e.getMessage()));
        }
    }

    /**
     * Requests in hand keep their classes, also with the sidecars of later tiers, which get their
     * calls: so a class that is dropped is served on until the last of them is over.
     */
    private void take(SidecarConfig next) {
        Set<String> names = new TreeSet<>();
        next.settings().classes().forEach(kind -> names.add(kind.name()));
        List<RequestClass> dropped =
                config.settings().classes().stream()
                        .filter(kind -> !names.contains(kind.name()))
                        .toList();
        config = next;
        BalancerSettings settings = next.settings();
        List<RequestClass> all = new ArrayList<>(settings.classes());
        all.addAll(dropped);
        use(settings.with(all));
        if (!dropped.isEmpty()) {
            loop.schedule(
                    () -> {
                        if (config == next) {
                            use(settings);
                        }
                    },
                    (long) Math.ceil(longest(dropped)),
                    TimeUnit.MILLISECONDS);
        }
        endpoints.configure(settings.limits().connectTimeoutMs(), next.idleCloseMs());
        discovery.move(next.discovery(), next.names(), !settings.asksForList());
        complaints.info(
                "a new configuration is taken up, with the classes " + String.join(", ", names));
    }

    private void use(BalancerSettings settings) {
        frontend.applySettings(settings);
        exchange.applySettings(settings);
        planEnd(settings.classes());
    }

    private static double longest(List<RequestClass> classes) {
        return classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
    }

    private void planEnd(List<RequestClass> classes) {
        killMs = Math.min(LONGEST_COUNTED_MS, longest(classes)) + KILL_AFTER_MS - KILL_MARGIN_MS;
        // Most answers take less than half of the aim.
        double longestAim = classes.stream().mapToDouble(RequestClass::aimMs).max().orElse(0);
        lastCallMs = Math.max(LINGER_MS, killMs - longestAim / 2);
    }

    /** What operators may ask for. */
    private final class Operators implements AdminServer.Operated {

        @Override
        public String status() {
            return frontend.notReadyReason();
        }

        @Override
        public String maintain(String id, boolean out) {
            return maintenance.set(id, out);
        }

        @Override
        public String members() {
            return fleet == null ? null : fleet.members();
        }

        @Override
        public String duties() {
            return fleet == null ? null : fleet.duties();
        }

        @Override
        public String shared() {
            return fleet == null ? null : fleet.shared();
        }

        @Override
        public String standby() {
            // A repeated call must not put off what the first has begun.
            if (!frontend.isDraining()) {
                frontend.drain(LINGER_MS, LET_GO_MS);
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

    /** The one thread that touches any of its parts. */
    EventLoop loop() {
        return loop;
    }

    /** Where clients connect. */
    InetSocketAddress address() {
        return address;
    }

    /** Where operators connect. */
    InetSocketAddress managementAddress() {
        return management.address();
    }

    private String managementText() {
        InetSocketAddress door = config.management() == null ? null : managementAddress();
        return door == null ? "" : door.getAddress().getHostAddress() + ":" + door.getPort();
    }

    /** What the fleet is told of this process. */
    private String phase() {
        return frontend.isShuttingDown()
                ? "DRAINING"
                : frontend.isDraining()
                        ? "STANDBY"
                        : frontend.notReadyReason() == null ? "READY" : "STARTING";
    }

    /** Ends everything at once. */
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
