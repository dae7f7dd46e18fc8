package poppynotch.control;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
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
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.AcceptorStateStore;
import poppynotch.settings.HostPort;
import poppynotch.settings.ProcessSettings;
import poppynotch.transport.Listeners;
import poppynotch.wire.Message;
import poppynotch.wire.RecordChannel;
import poppynotch.wire.ServerRecord;

/** A core process on real sockets, disk and clock: what it does is {@link ControlPlaneNode}'s. */
public final class ControlPlaneServer implements ControlApi.Service {

    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneServer.class);
    private static final AttributeKey<String> SENDER = AttributeKey.valueOf("sender");
    private static final int MOST_BODY = 8 * 1024 * 1024;
    private static final int TICK_MS = 50;
    private static final long DISK_RETRY_MS = 200;

    /** How long a process that is told to end tries to hand its place among the acceptors on. */
    private static final long LEAVE_LIMIT_MS = 2500;

    /** Heartbeats that go out before the end tell others what only this process has heard. */
    private static final long LAST_BEATS_MS = ControlPlaneNode.BEAT_MS + TICK_MS;

    private final ProcessSettings settings;
    private final EventLoop loop;
    private final String self;
    private final long incarnation = ThreadLocalRandom.current().nextLong() | 1;
    private final CountDownLatch ended = new CountDownLatch(1);
    private ControlPlaneNode<Channel> core;
    private long leavingSinceMs = Long.MAX_VALUE;

    private ControlPlaneServer(ProcessSettings settings, EventLoop loop) {
        this.settings = settings;
        this.loop = loop;
        self =
                settings.control()
                        .orElseThrow(() -> new IllegalArgumentException("Bind.Control is missing"))
                        .toString();
    }

    private static List<String> addresses(ProcessSettings settings) {
        return settings.seeds().stream().map(HostPort::toString).toList();
    }

    /** The settings file has changed: the seeds may be others. */
    public void reload(ProcessSettings changed) {
        loop.execute(() -> core.seeds(addresses(changed)));
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Starts a core process; an exception says plainly why it can't. */
    public static ControlPlaneServer start(ProcessSettings settings, EventLoopGroup group)
            throws IOException {
        EventLoop loop = (EventLoop) group.next();
        ControlPlaneServer node = new ControlPlaneServer(settings, loop);
        node.openCore();
        try {
            loop.submit(node::begin).sync();
            Listeners.listen(
                    group, settings.control().orElseThrow().socketAddress(), node::initControl);
            Listeners.listen(
                    group,
                    new HostPort(settings.ip(), settings.peerPort()).socketAddress(),
                    channel -> RecordChannel.install(channel.pipeline(), node.receiver()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        }
        LOG.info(
                "core process {} serves, incarnation {}",
                node.self,
                Long.toHexString(node.incarnation));
        return node;
    }

    private void openCore() throws IOException {
        Path folder =
                settings.dataDir()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "DataDir is missing: a core process needs a disk"));
        Files.createDirectories(folder);
        AcceptorStateStore files = new AcceptorStateStore(folder);
        Optional<AcceptorState> kept = files.read();
        if (kept.isEmpty() && settings.bootstrap()) {
            AcceptorState initial = AcceptorState.initial(AcceptorSet.of(addresses(settings)));
            keepFirst(files, initial);
            kept = Optional.of(initial);
        }
        LOG.info(
                "the register goes on from {}",
                kept.map(AcceptorState::toString).orElse("nothing"));
        QuorumContact contact = new QuorumContact(self);
        core =
                new ControlPlaneNode<>(
                        new ControlPlaneNode.Start(
                                self,
                                incarnation,
                                addresses(settings),
                                new AcceptorSetPlanner(settings.toleratedMachines()),
                                settings.heartbeatMs(),
                                kept),
                        ControlPlaneServer::now,
                        loop,
                        new PeerConnections(
                                loop,
                                self,
                                incarnation,
                                settings.peerPort(),
                                ControlPlaneServer::now,
                                contact),
                        contact,
                        new DiskStorage(files, loop),
                        RecordChannel::send);
    }

    /**
     * A disk that is full or in trouble may get better; without the state nothing may be promised.
     */
    private static void keepFirst(AcceptorStateStore files, AcceptorState initial)
            throws IOException {
        while (true) {
            try {
                files.write(initial);
                return;
            } catch (IOException e) {
                LOG.warn("the first state can't be written: {}", e.getMessage());
                try {
                    TimeUnit.MILLISECONDS.sleep(DISK_RETRY_MS);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    throw new IOException("interrupted while starting", interrupted);
                }
            }
        }
    }

    private void begin() {
        core.seeds(addresses(settings));
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void initControl(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MOST_BODY),
                        new ControlApi(this));
    }

    private void tick() {
        try {
            core.tick();
            watchEnd(now());
        } catch (RuntimeException e) {
            LOG.error("a tick failed", e);
        }
    }

    // ---- the end ----

    /**
     * Hands this process's place among the acceptors on where there is a successor, and returns
     * when that is done or its time is up.
     */
    public void shutDown() throws InterruptedException {
        loop.execute(
                () -> {
                    LOG.info("leaving");
                    leavingSinceMs = now();
                    core.leave();
                });
        ended.await();
    }

    private void watchEnd(long now) {
        if (leavingSinceMs == Long.MAX_VALUE) {
            return;
        }
        long since = now - leavingSinceMs;
        if (since >= LAST_BEATS_MS && core.mayEnd() || since >= LEAVE_LIMIT_MS) {
            LOG.info("ends {} ms after it was told to", since);
            leavingSinceMs = Long.MAX_VALUE;
            ended.countDown();
        }
    }

    // ---- messages ----

    private RecordChannel.Receiver receiver() {
        return new RecordChannel.Receiver() {
            @Override
            public void received(Channel from, Message message) {
                ControlPlaneServer.this.received(from, message);
            }

            @Override
            public void closed(Channel channel) {
                core.closed(channel);
            }
        };
    }

    private void received(Channel from, Message message) {
        if (message instanceof Message.Poll poll) {
            core.poll(from, poll);
        } else if (message instanceof Message.Hello hello) {
            from.attr(SENDER).set(hello.sender());
            core.hello(hello.sender());
        } else if (from.attr(SENDER).get() != null) {
            core.received(from.attr(SENDER).get(), message);
        }
    }

    // ---- what operators and servers ask ----

    @Override
    public void register(ServerRecord server, Consumer<Boolean> acknowledged) {
        core.register(server, acknowledged);
    }

    @Override
    public void leave(String id, Consumer<Boolean> acknowledged) {
        core.serverLeaves(id, acknowledged);
    }

    @Override
    public void change(ConfigChange order, Consumer<OperatorChangeResult> end) {
        core.change(order, end);
    }

    @Override
    public void readConfig(Consumer<ControlApi.Answer> end) {
        core.readConfig(
                json ->
                        end.accept(
                                json.map(read -> new ControlApi.Answer(HttpResponseStatus.OK, read))
                                        .orElseGet(
                                                () ->
                                                        ControlApi.Answer.of(
                                                                HttpResponseStatus
                                                                        .SERVICE_UNAVAILABLE,
                                                                "{}"))));
    }

    @Override
    public String status() {
        return core.status();
    }
}
