package poppynotch.router;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.Backend;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.DocumentCodec;
import poppynotch.config.FleetConfig;
import poppynotch.pool.ServerPool;
import poppynotch.pool.Slot;
import poppynotch.register.RegisterValue;
import poppynotch.settings.HostPort;
import poppynotch.settings.ProcessSettings;
import poppynotch.transport.Listeners;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;

/** An edge process: clients in, servers out. All of its tables belong to one event loop. */
public final class EdgeServer implements EdgeContext, ControlClient.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(EdgeServer.class);
    private static final int MAX_LINE = 8192;
    private static final int MAX_HEADER = 64 * 1024;
    private static final int MAX_CHUNK = 16 * 1024;
    private static final int TICK_MS = 100;

    /** Prompts with less to read are not told to other edges: they cost a server little. */
    private static final int TOLD_TOKENS = 1000;

    private static final long SWEEP_MS = 500;

    /** After SIGTERM the platform sends new connections for up to two of its probes more. */
    private static final long LINGER_MS = 2600;

    /** What is left of the time before SIGKILL when the last requests are given up. */
    private static final long KILL_MARGIN_MS = 300;

    private final ProcessSettings settings;
    private final Function<byte[], ConfigResult> configReader;
    private final EventLoop loop;
    private final FleetState state;
    private final UpstreamConnectionPool connections;
    private final ControlClient control;
    private final PromptGossip peers;
    private final Set<RequestExchange> active = new LinkedHashSet<>();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile Set<String> knownServers = Set.of();
    private volatile long inForce;
    private long revision = -1;
    private boolean draining;
    private long drainingSinceMs;
    private long nextSweepMs;

    private EdgeServer(
            ProcessSettings settings, EventLoop loop, Function<byte[], ConfigResult> configReader) {
        this.configReader = configReader;
        this.settings = settings;
        this.loop = loop;
        state = new FleetState(settings);
        connections = new UpstreamConnectionPool(loop, this::now);
        HostPort own = new HostPort(settings.ip(), settings.peerPort());
        control =
                new ControlClient(
                        settings.name(),
                        own.toString(),
                        ThreadLocalRandom.current().nextLong() | 1,
                        this::now,
                        new TcpControlConnector(loop, settings.peerPort()),
                        this);
        control.know(addresses(settings));
        peers = new PromptGossip(own, this::announced);
    }

    private static List<String> addresses(ProcessSettings settings) {
        return settings.seeds().stream().map(HostPort::toString).toList();
    }

    /** Starts an edge; an exception says plainly why it can't. */
    public static EdgeServer start(ProcessSettings settings, EventLoopGroup group)
            throws IOException {
        return start(
                settings, group, document -> ConfigReader.read(DocumentCodec.decode(document)));
    }

    /** Starts an edge that reads encoded configurations in a way of its own, as trials do. */
    public static EdgeServer start(
            ProcessSettings settings,
            EventLoopGroup group,
            Function<byte[], ConfigResult> configReader)
            throws IOException {
        InetSocketAddress front =
                settings.front()
                        .orElseThrow(() -> new IllegalArgumentException("Bind.Front is missing"))
                        .socketAddress();
        EdgeServer node = new EdgeServer(settings, (EventLoop) group.next(), configReader);
        try {
            Listeners.listen(group, front, node::initClient);
            if (settings.readiness().isPresent()) {
                Listeners.listen(
                        group, settings.readiness().get().socketAddress(), node::initReadiness);
            }
            node.peers.listen(node.loop);
            node.loop
                    .submit(
                            () ->
                                    node.loop.scheduleWithFixedDelay(
                                            node::tick, 0, TICK_MS, TimeUnit.MILLISECONDS))
                    .sync();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
        LOG.info("edge {} listens to clients at {}", settings.name(), front);
        return node;
    }

    private void initClient(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(MAX_LINE, MAX_HEADER, MAX_CHUNK),
                        new ClientConnection(this));
    }

    private void initReadiness(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new SimpleChannelInboundHandler<HttpRequest>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, HttpRequest request) {
                                FullHttpResponse response =
                                        new DefaultFullHttpResponse(
                                                HttpVersion.HTTP_1_1,
                                                isReady()
                                                        ? HttpResponseStatus.OK
                                                        : HttpResponseStatus.SERVICE_UNAVAILABLE,
                                                Unpooled.EMPTY_BUFFER);
                                HttpUtil.setContentLength(response, 0);
                                boolean keep = HttpUtil.isKeepAlive(request);
                                HttpUtil.setKeepAlive(response, keep);
                                var written = ctx.writeAndFlush(response);
                                if (!keep) {
                                    written.addListener(ChannelFutureListener.CLOSE);
                                }
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        });
    }

    private boolean isReady() {
        return !draining && state.canServe();
    }

    private void tick() {
        try {
            long now = now();
            control.tick();
            List.copyOf(active).forEach(exchange -> exchange.watch(now));
            if (now >= nextSweepMs) {
                nextSweepMs = now + SWEEP_MS;
                List.copyOf(clients).forEach(client -> client.checkIdle(now));
                connections.keepOnly(knownServers);
            }
            if (draining) {
                drain(now);
            }
        } catch (RuntimeException e) {
            LOG.error("a tick failed", e);
        }
    }

    /** The settings file has changed: the seeds may be others. */
    public void reload(ProcessSettings changed) {
        loop.execute(() -> control.know(addresses(changed)));
    }

    /** The version of the configuration in force; 0 before the first. Any thread may ask. */
    public long inForce() {
        return inForce;
    }

    /** How many servers are known. Any thread may ask. */
    public int known() {
        return knownServers.size();
    }

    // ---- the end ----

    /**
     * Sends clients elsewhere, ends what is in hand, and returns when that is done or time is up.
     */
    public void shutDown() throws InterruptedException {
        loop.execute(
                () -> {
                    draining = true;
                    drainingSinceMs = now();
                    LOG.info("draining: {} requests in hand", active.size());
                });
        ended.await();
    }

    private void drain(long now) {
        long since = now - drainingSinceMs;
        if (since >= LINGER_MS) {
            List.copyOf(clients).forEach(ClientConnection::closeIfIdle);
        }
        boolean done = since >= LINGER_MS && clients.isEmpty();
        if (done || since >= settings.bounds().graceMs() - KILL_MARGIN_MS) {
            LOG.info("drained: {} requests left", active.size());
            ended.countDown();
        }
    }

    // ---- what the control plane tells ----

    @Override
    public void value(RegisterValue value) {
        // Also one that can't be read is not to be sent again and again.
        revision = value.revision();
        ConfigResult read = configReader.apply(value.document());
        if (read instanceof ConfigResult.Valid valid) {
            state.configure(now(), valid.config());
            inForce = value.generation();
            LOG.info("in force: {}", value);
        } else {
            LOG.error("a configuration in force can't be read: {}", read);
        }
    }

    @Override
    public void servers(Collection<ServerRecord> servers) {
        state.servers(servers);
        knownServers = servers.stream().map(ServerRecord::id).collect(Collectors.toSet());
    }

    @Override
    public void place(int edges, int number) {
        state.place(now(), edges, number, peers.heardPart(now()));
    }

    @Override
    public void word(long upToMs, Map<String, Long> others, int reporting, boolean continuous) {
        state.quotas().word(now(), upToMs, others, reporting, continuous);
    }

    @Override
    public Map<String, Long> used() {
        return state.quotas().used(now());
    }

    @Override
    public long revision() {
        return revision;
    }

    @Override
    public void edges(List<String> addresses) {
        peers.know(addresses);
    }

    // ---- what the parts share ----

    @Override
    public void announce(String backend, Slot slot) {
        if (slot.freshTokens() >= TOLD_TOKENS) {
            peers.send(
                    now(),
                    new Message.PromptSent(
                            slot.serverId(), backend, slot.freshTokens(), slot.parts()));
        }
    }

    private void announced(Message.PromptSent sent) {
        ServerPool pool = state.pool(sent.backend());
        if (pool != null) {
            pool.promptSentElsewhere(now(), sent);
        }
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public FleetState state() {
        return state;
    }

    @Override
    public UpstreamConnectionPool connections() {
        return connections;
    }

    @Override
    public Set<RequestExchange> active() {
        return active;
    }

    @Override
    public boolean hasEngine(String backend) {
        FleetConfig config = state.config();
        Backend found = config == null ? null : config.backends().get(backend);
        return found != null && found.hasEngine();
    }

    @Override
    public void misdirected(String serverId) {
        control.misdirected(serverId);
    }

    @Override
    public boolean takesNothingNew() {
        return draining && now() - drainingSinceMs >= LINGER_MS;
    }

    @Override
    public boolean isDraining() {
        return draining;
    }

    @Override
    public Set<ClientConnection> clients() {
        return clients;
    }
}
