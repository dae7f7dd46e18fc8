package poppynotch.fleet.raft;

import io.microraft.executor.RaftNodeExecutor;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.LineProtocolServer;
import poppynotch.fleet.lease.LeaseSettings;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.wire.Addresses;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.LeaseCodec;

/**
 * The process of one Raft replica: a member of the fleet that serves no client calls, stores the
 * log in a folder, and has an admin server for operators.
 *
 * <p>It owns one event loop, on which the replica, the member and the admin server run. {@link
 * #start} and {@link #stop} are called from other threads and block; {@code stop} releases all
 * resources.
 */
public final class RaftServer implements RaftNodeExecutor, RaftReplica.Network {

    private static final int ADVANCE_INTERVAL_MS = 50;

    /** How long a leader that shuts down waits for the transfer of its leadership. */
    private static final int LEADERSHIP_TRANSFER_TIMEOUT_MS = 500;

    private static final int LOG_CLOSE_TIMEOUT_MS = 1500;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("keeper"), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) eventLoops.next();
    private final CompositePayload payloads = new CompositePayload();
    private final RaftEndpointId self;
    private final Consumer<String> log;
    private FleetHost host;
    private LineProtocolServer adminServer;

    /** Set on the event loop after the log was read. */
    private RaftReplica replica;

    private RaftAdminHandler adminHandler;
    private String lastLoggedState = "starting";

    private RaftServer(RaftEndpointId self, Consumer<String> log) {
        this.self = self;
        this.log = log;
    }

    /**
     * Starts a server.
     *
     * @param mode whether the server founds the group, joins it as a new replica, or continues with
     *     its log
     * @param log receives log lines for operators
     * @throws IOException if the folder does not fit the mode, its log cannot be read, or an
     *     address is in use
     */
    public static RaftServer start(
            RaftServerSettings settings, RaftServerSettings.StartMode mode, Consumer<String> log)
            throws IOException {
        FileStore store = new FileStore(settings.logFolder());
        checkLog(mode, store.hasLog(), settings.logFolder());
        long seed = new Random().nextLong();
        RaftEndpointId self =
                mode == RaftServerSettings.StartMode.JOIN
                        ? RaftEndpointId.withSuffix(
                                settings.name(), Integer.toHexString(new Random(seed).nextInt()))
                        : new RaftEndpointId(settings.name());
        RaftServer server = new RaftServer(self, log);
        try {
            server.begin(settings, store, seed);
        } catch (IOException | RuntimeException e) {
            server.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
        return server;
    }

    private static void checkLog(RaftServerSettings.StartMode mode, boolean hasLog, Path folder)
            throws IOException {
        boolean needsLog = mode == RaftServerSettings.StartMode.CONTINUE;
        if (needsLog && !hasLog) {
            throw new IOException(
                    "there is no log in "
                            + folder
                            + ": a keeper that has lost it must"
                            + " not vote as the same one (keep --join),"
                            + " unless nobody has one yet (keep --found)");
        }
        if (!needsLog && hasLog) {
            throw new IOException(
                    "there is a log in "
                            + folder
                            + " already: start without --found"
                            + " and --join, or move it away");
        }
    }

    private void begin(RaftServerSettings settings, FileStore store, long seed) throws IOException {
        adminServer = new LineProtocolServer(loop, settings.adminAddress(), this::handleAdminLine);
        host =
                FleetHost.start(
                        loop,
                        PooledByteBufAllocator.DEFAULT,
                        settings.fleet(),
                        settings.name(),
                        new MemberProfile(
                                settings.fleet().zone(),
                                "keeper",
                                settings.fleet().version(),
                                MemberProfile.Phase.READY,
                                Addresses.text(adminServer.address())),
                        seed,
                        payloads,
                        log);
        try {
            loop.submit(() -> startReplica(settings, store, seed)).get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof UncheckedIOException io
                    ? io.getCause()
                    : new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
        log.accept(
                "Raft server started: id="
                        + self.id()
                        + ", generation="
                        + settings.generation()
                        + ", logFolder="
                        + settings.logFolder());
    }

    private void startReplica(RaftServerSettings settings, FileStore store, long seed) {
        List<RaftEndpointId> founders =
                settings.founders().stream().map(RaftEndpointId::new).toList();
        replica =
                new RaftReplica(
                        settings.generation(),
                        self,
                        founders,
                        LeaseSettings.DEFAULT,
                        new RaftReplica.Environment(
                                this, new Random(~seed), host::now, this, store));
        adminHandler = new RaftAdminHandler(replica, host);
        payloads.with(LeaseCodec.LETTER, replica.leaseRequestHandler())
                .with(RaftReplica.LETTER, replica.raftMessageHandler());
        loop.scheduleWithFixedDelay(this::advance, 0, ADVANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private CompletionStage<String> handleAdminLine(String line) {
        return adminHandler == null
                ? CompletableFuture.completedFuture("error this process is starting")
                : adminHandler.handle(line);
    }

    private void advance() {
        replica.advance();
        String state = state();
        if (!state.equals(lastLoggedState)) {
            log.accept(
                    "Raft server state changed: id="
                            + self.id()
                            + ", oldState="
                            + lastLoggedState
                            + ", newState="
                            + state
                            + ", term="
                            + replica.term());
            lastLoggedState = state;
        }
    }

    private String state() {
        if (replica.isLeader()) {
            return "leader";
        }
        return replica.leader().isEmpty() ? "no leader" : "follower of " + replica.leader();
    }

    // ---- RaftNodeExecutor ----

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void submit(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        loop.schedule(task, delay, unit);
    }

    // ---- RaftReplica.Network ----

    @Override
    public void send(String server, ByteBuffer message) {
        host.sendQuestion(server, CompositePayload.encodeSingle(RaftReplica.LETTER, message));
    }

    @Override
    public void sendResponse(String member, long sequence, ByteBuffer response) {
        host.sendAnswer(
                member, sequence, CompositePayload.encodeSingle(LeaseCodec.LETTER, response));
    }

    @Override
    public boolean isPresent(String member) {
        MemberUpdate update = host.member(member);
        return update != null && update.state() == MemberState.ALIVE;
    }

    // ---- Shutdown ----

    /** Transfers leadership, closes the log, leaves the fleet, and releases all sockets. */
    public void stop() {
        if (replica.isLeader()) {
            await(
                    "transfer leadership",
                    LEADERSHIP_TRANSFER_TIMEOUT_MS,
                    replica::transferLeadership);
        }
        await("close the log", LOG_CLOSE_TIMEOUT_MS, replica::terminate);
        loop.submit(
                        () -> {
                            host.leave();
                            host.close();
                        })
                .awaitUninterruptibly();
        adminServer.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void await(String action, long timeoutMs, Supplier<CompletableFuture<?>> start) {
        try {
            loop.submit(start::get).get().get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            log.accept(
                    "Raft server shutdown step failed: id="
                            + self.id()
                            + ", step="
                            + action
                            + ": timeoutMs="
                            + timeoutMs
                            + ", cause="
                            + e);
        }
    }
}
