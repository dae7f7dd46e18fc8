package poppynotch.lab.added;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import poppynotch.lab.socket.LoopbackAddresses;

/**
 * What all measurements of one {@link CallsTrial} share: its plan and outcome, its random numbers,
 * the event loops of the callers and of the servers, and the launcher of sidecars.
 *
 * <p>For the one thread that plays the trial, which closes it: that stops the event loops. Pools,
 * servers and sidecars are closed by whoever made them.
 */
final class TrialEnvironment implements AutoCloseable {

    /** Connections of a pool: enough for thousands of calls a second and a stall of some 10 ms. */
    private static final int MAX_CONNECTIONS = 256;

    /** Groups of loopback addresses; QuickServer allocates those of servers in its own range. */
    private static final int LISTEN_ADDRESS_GROUP = 50;

    private static final int FLEET_ADDRESS_GROUP = 51;
    private static final int ADMIN_ADDRESS_GROUP = 52;

    private final CallsPlan plan;
    private final MeasuredSidecar.Launcher launcher;
    private final Consumer<String> progress;
    private final CallsOutcome outcome = new CallsOutcome();
    private final SplittableRandom random;
    private final MultiThreadIoEventLoopGroup callers = group("callers");
    private final MultiThreadIoEventLoopGroup servers = group("servers");
    private final EventLoop callerLoop = (EventLoop) callers.next();
    private final EventLoop serverLoop = (EventLoop) servers.next();
    private int processes;

    TrialEnvironment(CallsPlan plan, MeasuredSidecar.Launcher launcher, Consumer<String> progress) {
        this.plan = plan;
        this.launcher = launcher;
        this.progress = progress;
        random = new SplittableRandom(plan.seed());
    }

    private static MultiThreadIoEventLoopGroup group(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    CallsPlan plan() {
        return plan;
    }

    CallsOutcome outcome() {
        return outcome;
    }

    SplittableRandom random() {
        return random;
    }

    MeasuredSidecar.Launcher launcher() {
        return launcher;
    }

    EventLoop serverLoop() {
        return serverLoop;
    }

    /** Reports a line of progress. */
    void reportProgress(String format, Object... values) {
        progress.accept(String.format(Locale.ROOT, format, values));
    }

    /** A pool of the callers' connections to an address. */
    HttpPool callerPool(InetSocketAddress address) {
        return new HttpPool(callerLoop, address, MAX_CONNECTIONS);
    }

    /** A pool of a server's connections to an address. */
    HttpPool serverPool(InetSocketAddress address) {
        return new HttpPool(serverLoop, address, MAX_CONNECTIONS);
    }

    /** Closes the connections of a pool of the callers and waits for that. */
    void close(HttpPool pool) {
        callerLoop.submit(pool::reset).awaitUninterruptibly();
    }

    /** An address for the seed of a new fleet, which is the next process to be configured. */
    InetSocketAddress nextSeed() {
        return LoopbackAddresses.allocate(FLEET_ADDRESS_GROUP, processes);
    }

    /**
     * The configuration of a new process.
     *
     * @param addresses of the servers that it knows
     * @param discovery where it asks for servers
     * @param seed of the fleet that it joins, or null for none
     * @param first whether it is that seed itself
     */
    ObjectNode nextConfig(
            List<InetSocketAddress> addresses,
            DiscoveryStandIn discovery,
            InetSocketAddress seed,
            boolean first) {
        int number = processes++;
        ObjectNode config =
                ServeConfig.of(
                        "n" + number,
                        LoopbackAddresses.allocate(LISTEN_ADDRESS_GROUP, number),
                        discovery.address(),
                        addresses,
                        plan.replicas(),
                        random.nextLong());
        if (seed != null) {
            ServeConfig.join(
                    config,
                    first ? seed : LoopbackAddresses.allocate(FLEET_ADDRESS_GROUP, number),
                    seed,
                    LoopbackAddresses.allocate(ADMIN_ADDRESS_GROUP, number));
        }
        return config;
    }

    @Override
    public void close() {
        callers.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        servers.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
