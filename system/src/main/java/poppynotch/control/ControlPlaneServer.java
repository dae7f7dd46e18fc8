package poppynotch.control;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.AcceptorRecovery;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.AcceptorStateStore;
import poppynotch.rollout.ExposureLimits;
import poppynotch.rollout.RolloutRequest;
import poppynotch.settings.HostPort;
import poppynotch.settings.ProcessSettings;
import poppynotch.transport.PipelinedHttpServerCodec;
import poppynotch.transport.ServerSockets;
import poppynotch.wire.Message;
import poppynotch.wire.RecordChannel;
import poppynotch.wire.ServerRecord;

/**
 * A control-plane replica on real sockets, disk and clock. It listens for HTTP requests ({@link
 * ControlApi}) and for connections of edges and peers, and passes requests and messages to its
 * {@link ControlPlaneNode}.
 *
 * <p>The node runs on one event loop of the group passed to {@link #start}. {@link #reload} and
 * {@link #shutDown} may be called from other threads. The listeners and connections are released
 * with the group, which the caller owns.
 */
public final class ControlPlaneServer implements ControlApi.Service {

    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneServer.class);

    /** The control address of the replica at the other end of a connection. */
    private static final AttributeKey<String> SENDER = AttributeKey.valueOf("sender");

    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final int TICK_INTERVAL_MS = 50;
    private static final long DISK_RETRY_INTERVAL_MS = 200;

    /** How long a shutdown waits for another replica to replace this one as an acceptor. */
    private static final long SHUTDOWN_TIMEOUT_MS = 2500;

    /** Long enough for a last heartbeat, which relays updates that only this process received. */
    private static final long MIN_SHUTDOWN_MS =
            ControlPlaneNode.HEARTBEAT_INTERVAL_MS + TICK_INTERVAL_MS;

    private static final long NOT_SHUTTING_DOWN = Long.MAX_VALUE;

    private final ProcessSettings settings;
    private final EventLoop loop;
    private final String self;

    /** Random; never 0. */
    private final long incarnation = ThreadLocalRandom.current().nextLong() | 1;

    private final CountDownLatch shutDownComplete = new CountDownLatch(1);

    /** Used on {@link #loop} only. */
    private final ApiCallLog apiCalls = new ApiCallLog(ControlPlaneServer::nowMs);

    /** Used on {@link #loop} only, once {@link #start} has returned. */
    private ControlPlaneNode<Channel> node;

    private long shutdownStartedMs = NOT_SHUTTING_DOWN;

    private ControlPlaneServer(ProcessSettings settings, EventLoop loop) {
        this.settings = settings;
        this.loop = loop;
        self =
                settings.controlAddress()
                        .orElseThrow(() -> new IllegalArgumentException("Bind.Control is missing"))
                        .toString();
    }

    // ---- start ----

    /**
     * Starts a replica. Blocks while its first state can't be written to disk.
     *
     * @param group runs the replica; one of its event loops owns the node
     * @throws IOException if the state can't be read, or an address can't be listened on
     * @throws IllegalArgumentException if the settings have no control address or data folder
     */
    public static ControlPlaneServer start(ProcessSettings settings, EventLoopGroup group)
            throws IOException {
        EventLoop loop = (EventLoop) group.next();
        ControlPlaneServer server = new ControlPlaneServer(settings, loop);
        server.createNode();
        try {
            loop.submit(server::startTicking).sync();
            server.listen(group);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting the control-plane replica", e);
        }
        LOG.info(
                "Control-plane replica started: control={}, incarnation={}",
                server.self,
                Long.toHexString(server.incarnation));
        return server;
    }

    private void createNode() throws IOException {
        Path folder =
                settings.dataDir()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "DataDir is missing: a core process needs a disk"));
        Files.createDirectories(folder);
        AcceptorStateStore store = new AcceptorStateStore(folder);
        Optional<AcceptorState> restored = store.read();
        boolean firstIncarnation = restored.isEmpty() && settings.bootstrap();
        Optional<AcceptorState> persisted =
                firstIncarnation ? Optional.of(bootstrap(store)) : restored;
        DepartureStore departureStore = new DepartureStore(folder);
        List<ServerRecord> departures = departureStore.read();
        LOG.info(
                "Acceptor state restored: folder={}, state={}, departures={}",
                folder,
                persisted.map(AcceptorState::toString).orElse("none"),
                departures.size());
        ControlPlaneNode.Config config =
                new ControlPlaneNode.Config(
                        self,
                        incarnation,
                        seedAddresses(settings),
                        new AcceptorSetPlanner(settings.toleratedMachineFailures()),
                        settings.heartbeatMs(),
                        persisted,
                        departures,
                        firstIncarnation,
                        AcceptorRecovery.Settings.DEFAULT,
                        new ExposureLimits(
                                settings.limits().exposureShare(),
                                settings.limits().exposureSlackRequests()));
        QuorumContact contact = new QuorumContact(self);
        node =
                new ControlPlaneNode<>(
                        config,
                        ControlPlaneServer::nowMs,
                        loop,
                        peerConnections(contact),
                        contact,
                        new ControlPlaneNode.Storage(
                                new DiskStorage<>("register", store, loop),
                                new DiskStorage<>("departures", departureStore, loop)),
                        RecordChannel::send);
    }

    private PeerConnections peerConnections(QuorumContact contact) {
        return new PeerConnections(
                loop,
                self,
                incarnation,
                settings.peerPort(),
                ControlPlaneServer::nowMs,
                contact,
                peer -> node.onPeerConnected(peer));
    }

    private AcceptorState bootstrap(AcceptorStateStore store) throws IOException {
        AcceptorState initial = AcceptorState.initial(AcceptorSet.of(seedAddresses(settings)));
        writeUntilPersisted(store, initial);
        return initial;
    }

    /** Retries until the state is on disk: before, the acceptor must not send any promise. */
    private static void writeUntilPersisted(AcceptorStateStore store, AcceptorState initial)
            throws IOException {
        while (true) {
            try {
                store.write(initial);
                return;
            } catch (IOException e) {
                LOG.warn(
                        "Initial acceptor state not persisted: retryInMs={}, cause={}",
                        DISK_RETRY_INTERVAL_MS,
                        e.getMessage());
            }
            waitForDisk();
        }
    }

    private static void waitForDisk() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(DISK_RETRY_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting the control-plane replica", e);
        }
    }

    private void startTicking() {
        node.updateSeeds(seedAddresses(settings));
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void listen(EventLoopGroup group) throws IOException, InterruptedException {
        ServerSockets.listen(
                group, settings.controlAddress().orElseThrow().socketAddress(), this::initControl);
        ServerSockets.listen(
                group,
                new HostPort(settings.ip(), settings.peerPort()).socketAddress(),
                channel -> RecordChannel.install(channel.pipeline(), receiver()));
    }

    private void initControl(Channel channel) {
        channel.pipeline()
                .addLast(
                        PipelinedHttpServerCodec.create(
                                new HttpDecoderConfig(), ControlApi.MAX_WAITING_REQUESTS),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new ControlApi(this, apiCalls));
    }

    /** Applies the seeds of changed settings; other changes are ignored. */
    public void reload(ProcessSettings changed) {
        loop.execute(() -> node.updateSeeds(seedAddresses(changed)));
    }

    private static List<String> seedAddresses(ProcessSettings settings) {
        return settings.seeds().stream().map(HostPort::toString).toList();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void tick() {
        try {
            node.tick();
            checkShutdown(nowMs());
        } catch (RuntimeException e) {
            // The event loop would not run the task again after an uncaught exception.
            LOG.error("Control-plane tick failed: control={}", self, e);
        }
    }

    // ---- shutdown ----

    /**
     * Gives up this process's membership of the acceptor set if another replica can replace it, and
     * returns when that is done or has timed out. Must not be called on the event loop.
     */
    public void shutDown() throws InterruptedException {
        loop.execute(
                () -> {
                    LOG.info(
                            "Control-plane replica stopping: control={}, state=running -> leaving",
                            self);
                    shutdownStartedMs = nowMs();
                    node.startLeaving();
                });
        shutDownComplete.await();
    }

    private void checkShutdown(long nowMs) {
        if (shutdownStartedMs == NOT_SHUTTING_DOWN) {
            return;
        }
        long leavingForMs = nowMs - shutdownStartedMs;
        boolean timedOut = leavingForMs >= SHUTDOWN_TIMEOUT_MS;
        if ((leavingForMs >= MIN_SHUTDOWN_MS && node.mayShutDown()) || timedOut) {
            LOG.info(
                    "Control-plane replica stopped: control={}, state=leaving -> ended,"
                            + " leavingForMs={}, cause={}",
                    self,
                    leavingForMs,
                    timedOut ? "timeout" : "not needed as acceptor");
            shutdownStartedMs = NOT_SHUTTING_DOWN;
            shutDownComplete.countDown();
        }
    }

    // ---- messages of edges and peers ----

    private RecordChannel.MessageListener receiver() {
        return new RecordChannel.MessageListener() {
            @Override
            public void onMessage(Channel from, Message message) {
                dispatch(from, message);
            }

            @Override
            public void onClosed(Channel channel) {
                node.onConnectionClosed(channel);
            }
        };
    }

    /** Messages of a peer that has not sent {@link Message.Hello} are ignored. */
    private void dispatch(Channel from, Message message) {
        if (message instanceof Message.Poll poll) {
            node.onPoll(from, poll);
        } else if (message instanceof Message.Hello hello) {
            from.attr(SENDER).set(hello.sender());
            node.onHello(hello.sender());
        } else if (from.attr(SENDER).get() != null) {
            node.onMessage(from.attr(SENDER).get(), message);
        }
    }

    // ---- requests of servers and operators ----

    @Override
    public void register(ServerRecord server, Consumer<Boolean> callback) {
        node.register(server, callback);
    }

    @Override
    public void deregister(String id, Consumer<Boolean> callback) {
        node.deregister(id, callback);
    }

    @Override
    public void submitChange(ConfigChange change, Consumer<OperatorChangeResult> callback) {
        node.submitChange(change, callback);
    }

    @Override
    public void readConfig(Consumer<ControlApi.Response> callback) {
        node.readConfig(document -> callback.accept(configResponse(document)));
    }

    @Override
    public void submitRollout(RolloutRequest request, Consumer<OperatorChangeResult> callback) {
        node.submitRollout(request, callback);
    }

    @Override
    public void readRollout(String backend, Consumer<RolloutReadResult> callback) {
        node.readRollout(backend, callback);
    }

    private static ControlApi.Response configResponse(Optional<byte[]> document) {
        return document.map(json -> new ControlApi.Response(HttpResponseStatus.OK, json))
                .orElseGet(
                        () -> ControlApi.Response.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "{}"));
    }

    @Override
    public String status() {
        return node.status(apiCalls.countsByStatus());
    }
}
