package poppynotch.router;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.DocumentCodec;
import poppynotch.pool.ServerPool;
import poppynotch.pool.Slot;
import poppynotch.settings.HostPort;
import poppynotch.settings.ProcessSettings;
import poppynotch.transport.PipelinedHttpServerCodec;
import poppynotch.transport.ServerSockets;
import poppynotch.wire.Message;

/**
 * An edge process: accepts client requests and proxies them to servers according to the control
 * plane's configuration. Connects the components of the edge, runs their periodic work and shuts
 * down gracefully.
 *
 * <p>All state is confined to one event loop, except where it is documented as readable from any
 * thread. The caller of {@link #start} owns the event loop group; closing the group closes all
 * sockets. The group must have exactly one event loop if clients connect, because the handlers of
 * all client connections share this state.
 */
public final class EdgeServer {

    private static final Logger LOG = LoggerFactory.getLogger(EdgeServer.class);

    private static final int MAX_INITIAL_LINE_LENGTH = 8192;
    private static final int MAX_HEADER_SIZE = 64 * 1024;
    private static final int MAX_CHUNK_SIZE = 16 * 1024;
    private static final int TICK_INTERVAL_MS = 100;
    private static final long CONNECTION_SWEEP_INTERVAL_MS = 500;

    private final ProcessSettings settings;
    private final EdgeContext context;
    private final ControlClient controlClient;
    private final ControlUpdateHandler controlUpdates;
    private final PromptGossip promptGossip;
    private final CountDownLatch drained = new CountDownLatch(1);
    private long nextSweepMs;

    private EdgeServer(
            ProcessSettings settings, EventLoop loop, Function<byte[], ConfigResult> configReader) {
        this.settings = settings;
        context = new EdgeContext(loop, settings, new FleetNotices());
        HostPort ownAddress = new HostPort(settings.ip(), settings.peerPort());
        promptGossip = new PromptGossip(ownAddress, this::onPeerPrompt);
        controlUpdates = new ControlUpdateHandler(context, promptGossip, configReader);
        controlClient =
                new ControlClient(
                        settings.name(),
                        ownAddress.toString(),
                        context.incarnation(),
                        context::nowMs,
                        new TcpControlConnector(loop, settings.peerPort()),
                        controlUpdates);
        controlClient.addSeeds(seedAddresses(settings));
    }

    private static List<String> seedAddresses(ProcessSettings settings) {
        return settings.seeds().stream().map(HostPort::toString).toList();
    }

    /** Forwards the observations of connections and exchanges to other processes of the fleet. */
    private final class FleetNotices implements EdgeContext.FleetNotifier {

        @Override
        public void publishPrompt(String backend, Slot slot) {
            promptGossip.publish(context.nowMs(), backend, slot);
        }

        @Override
        public void onMisdirected(String serverId) {
            controlClient.onMisdirected(serverId);
        }
    }

    private void onPeerPrompt(Message.PromptSent prompt) {
        ServerPool pool = context.fleetState().pool(prompt.backend());
        if (pool != null) {
            pool.onPromptSentElsewhere(context.nowMs(), prompt);
        }
    }

    // ---- Start ----

    /**
     * Starts an edge on one event loop of a group.
     *
     * @throws IOException if the thread is interrupted; bind failures are rethrown unchanged
     * @throws IllegalArgumentException if the settings have no client address
     */
    public static EdgeServer start(ProcessSettings settings, EventLoopGroup group)
            throws IOException {
        return start(
                settings,
                group,
                document -> ConfigReader.readAccepted(DocumentCodec.decode(document)));
    }

    /**
     * Starts an edge with a caller-supplied reader of encoded configurations, for trials.
     *
     * @throws IOException if the thread is interrupted; bind failures are rethrown unchanged
     * @throws IllegalArgumentException if the settings have no client address
     */
    public static EdgeServer start(
            ProcessSettings settings,
            EventLoopGroup group,
            Function<byte[], ConfigResult> configReader)
            throws IOException {
        InetSocketAddress clientAddress =
                settings.clientAddress()
                        .orElseThrow(() -> new IllegalArgumentException("Bind.Front is missing"))
                        .socketAddress();
        EdgeServer server = new EdgeServer(settings, (EventLoop) group.next(), configReader);
        try {
            server.listen(group, clientAddress);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
        LOG.info("Edge started: name={}, clientAddress={}", settings.name(), clientAddress);
        return server;
    }

    private void listen(EventLoopGroup group, InetSocketAddress clientAddress)
            throws InterruptedException {
        ServerSockets.listen(group, clientAddress, channel -> initClientChannel(channel, context));
        if (settings.readinessAddress().isPresent()) {
            ServerSockets.listen(
                    group,
                    settings.readinessAddress().get().socketAddress(),
                    this::initReadinessChannel);
        }
        promptGossip.bind(context.loop());
        context.loop().submit(this::scheduleTicks).sync();
    }

    /** Adds the handlers of a client connection. */
    static void initClientChannel(Channel channel, EdgeContext context) {
        HttpDecoderConfig limits =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_INITIAL_LINE_LENGTH)
                        .setMaxHeaderSize(MAX_HEADER_SIZE)
                        .setMaxChunkSize(MAX_CHUNK_SIZE);
        channel.pipeline()
                .addLast(
                        PipelinedHttpServerCodec.create(
                                limits, ClientConnection.MAX_PIPELINED_MESSAGES),
                        new ClientConnection(context));
    }

    private void initReadinessChannel(Channel channel) {
        channel.pipeline().addLast(new HttpServerCodec(), new ReadinessHandler(this::isReady));
    }

    private boolean isReady() {
        return !context.shutdown().isDraining() && context.fleetState().canServe();
    }

    // ---- Periodic work ----

    private void scheduleTicks() {
        context.loop()
                .scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        try {
            long nowMs = context.nowMs();
            controlClient.tick();
            List.copyOf(context.activeExchanges())
                    .forEach(exchange -> exchange.checkServerInactivity(nowMs));
            if (nowMs >= nextSweepMs) {
                nextSweepMs = nowMs + CONNECTION_SWEEP_INTERVAL_MS;
                List.copyOf(context.clientConnections())
                        .forEach(client -> client.closeIfTimedOut(nowMs));
                context.upstreamConnections().retain(controlUpdates.knownServerIds());
            }
            if (context.shutdown().isDraining()) {
                drain(nowMs);
            }
        } catch (RuntimeException e) {
            // An exception that leaves this method would cancel all further ticks.
            LOG.error("Edge tick failed; the next tick runs as scheduled", e);
        }
    }

    private void drain(long nowMs) {
        GracefulShutdown shutdown = context.shutdown();
        boolean lingerOver = shutdown.isLingerOver(nowMs);
        if (lingerOver) {
            List.copyOf(context.clientConnections()).forEach(ClientConnection::closeIfIdle);
        }
        boolean complete = lingerOver && context.clientConnections().isEmpty();
        if (complete || shutdown.isGraceOver(nowMs)) {
            LOG.info("Edge drained: requestsInFlight={}", context.activeExchanges().size());
            drained.countDown();
        }
    }

    // ---- Calls from other threads ----

    /**
     * Adds the seed addresses of changed settings; other settings are read at the start only. May
     * be called from any thread.
     */
    public void reload(ProcessSettings changed) {
        context.loop().execute(() -> controlClient.addSeeds(seedAddresses(changed)));
    }

    /** The generation of the active configuration, 0 if there is none. Readable from any thread. */
    public long configGeneration() {
        return controlUpdates.generation();
    }

    /** The number of known servers. Readable from any thread. */
    public int knownServerCount() {
        return controlUpdates.knownServerIds().size();
    }

    /**
     * Shuts down gracefully: closes each client connection after its next response and lets
     * requests in flight complete. Returns when all client connections are closed or the grace
     * period of the settings has expired. Must not be called on an event loop.
     */
    public void shutDown() throws InterruptedException {
        context.loop()
                .execute(
                        () -> {
                            context.shutdown().begin(context.nowMs());
                            LOG.info(
                                    "Edge draining: requestsInFlight={}",
                                    context.activeExchanges().size());
                        });
        drained.await();
    }
}
