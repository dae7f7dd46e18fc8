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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.DocumentCodec;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.Ballot;
import poppynotch.register.Change;
import poppynotch.register.Outcome;
import poppynotch.register.RegisterValue;
import poppynotch.register.StateFiles;
import poppynotch.register.Vote;
import poppynotch.settings.HostPort;
import poppynotch.settings.NodeSettings;
import poppynotch.transport.Listeners;
import poppynotch.wire.EdgeLease;
import poppynotch.wire.Message;
import poppynotch.wire.RecordChannel;
import poppynotch.wire.ServerRecord;

/**
 * A core process: it holds a replica of the register, the registry of servers and the edges'
 * leases, and serves operators, servers and edges. All of its tables belong to one event loop.
 */
public final class CoreNode implements ControlApi.Service, RegisterReplica.Host, PollHub.Source {

    private static final Logger LOG = LoggerFactory.getLogger(CoreNode.class);
    private static final AttributeKey<String> SENDER = AttributeKey.valueOf("sender");
    private static final int MOST_BODY = 8 * 1024 * 1024;
    private static final int TICK_MS = 50;
    private static final long BEAT_MS = 200;

    /** Without a quorum for so long, this process vouches for nothing. */
    private static final long FENCED_MS = 1000;

    /** What this process says of the registry counts as stale after a time without a quorum. */
    private static final long REGISTRY_STALE_MS = 2000;

    private static final long ORDER_LIMIT_MS = 2500;
    private static final long CONTACT_MS = 2000;
    private static final long MAINTENANCE_MS = 500;

    private static final long DISK_RETRY_MS = 200;

    private final NodeSettings settings;
    private final EventLoop loop;

    /**
     * Control addresses of core processes by the settings; those of the acceptors are known
     * besides.
     */
    private List<String> seeds;

    private final String self;
    private final long incarnation = ThreadLocalRandom.current().nextLong() | 1;
    private final QuorumContact contact;
    private final CorePeers peers;
    private final ServerRegistry registry;
    private final EdgeDirectory edges = new EdgeDirectory();
    private final PollHub polls;
    private final RegistryService servers;
    private final AcceptorMaintenance maintenance;
    private final RoleElection election;

    private RegisterReplica register;
    private long nextBeatMs;
    private long lastBeatMs;
    private long nextMaintenanceMs;
    private boolean newsPending;
    private boolean fenced = true;
    private long fencedSinceMs;
    private boolean maintaining;

    private CoreNode(NodeSettings settings, EventLoop loop) {
        this.settings = settings;
        this.loop = loop;
        seeds = addresses(settings);
        self =
                settings.control()
                        .orElseThrow(() -> new IllegalArgumentException("Bind.Control is missing"))
                        .toString();
        contact = new QuorumContact(self);
        peers = new CorePeers(loop, self, incarnation, settings.peerPort(), CoreNode::now, contact);
        registry = new ServerRegistry(now(), settings.heartbeatMs());
        polls = new PollHub(incarnation, registry, edges, this, CoreNode::now);
        servers =
                new RegistryService(
                        self,
                        registry,
                        peers,
                        () -> register.acceptors(),
                        this::isFenced,
                        this::news);
        maintenance = new AcceptorMaintenance(settings.toleratedMachines());
        election =
                new RoleElection(
                        self,
                        now(),
                        incarnation,
                        term -> peers.sendToAll(new Message.RoleClaim(term)));
    }

    private static List<String> addresses(NodeSettings settings) {
        return settings.seeds().stream().map(HostPort::toString).toList();
    }

    /** The settings file has changed: the seeds may be others. */
    public void reload(NodeSettings changed) {
        loop.execute(
                () -> {
                    seeds = addresses(changed);
                    seeds.forEach(seed -> peers.know(seed, now()));
                });
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Starts a core process; an exception says plainly why it can't. */
    public static CoreNode start(NodeSettings settings, EventLoopGroup group) throws IOException {
        EventLoop loop = (EventLoop) group.next();
        CoreNode node = new CoreNode(settings, loop);
        node.openRegister();
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

    private void openRegister() throws IOException {
        Path folder =
                settings.dataDir()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "DataDir is missing: a core process needs a disk"));
        Files.createDirectories(folder);
        StateFiles files = new StateFiles(folder);
        Optional<AcceptorState> kept = files.read();
        if (kept.isEmpty() && settings.bootstrap()) {
            AcceptorState initial = AcceptorState.initial(AcceptorSet.of(seeds));
            keepFirst(files, initial);
            kept = Optional.of(initial);
        }
        LOG.info(
                "the register goes on from {}",
                kept.map(AcceptorState::toString).orElse("nothing"));
        register =
                new RegisterReplica(
                        self,
                        incarnation,
                        kept,
                        AcceptorSet.of(List.of()),
                        new DiskStorage(files, loop),
                        this);
    }

    /**
     * A disk that is full or in trouble may get better; without the state nothing may be promised.
     */
    private static void keepFirst(StateFiles files, AcceptorState initial) throws IOException {
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
        seeds.forEach(seed -> peers.know(seed, now()));
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void initControl(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MOST_BODY),
                        new ControlApi(this));
    }

    // ---- time ----

    private void tick() {
        try {
            long now = now();
            peers.tick(now);
            register.tick(now);
            watchQuorum(now);
            servers.tick(now);
            edges.tick(now);
            polls.tick(now);
            if (now >= nextBeatMs) {
                beat(now);
            }
            if (now >= nextMaintenanceMs) {
                nextMaintenanceMs = now + MAINTENANCE_MS;
                seeds.forEach(seed -> peers.know(seed, now));
                register.acceptors().everyone().forEach(acceptor -> peers.know(acceptor, now));
                maintainAcceptors(now);
            }
        } catch (RuntimeException e) {
            LOG.error("a tick failed", e);
        }
    }

    /** Out of contact with a quorum: this process vouches for nothing. */
    private boolean isFenced() {
        return quorumAgeMs() > FENCED_MS;
    }

    private void watchQuorum(long now) {
        boolean before = fenced;
        fenced = isFenced();
        if (fenced && !before) {
            fencedSinceMs = now;
            LOG.info("out of contact with a quorum");
        } else if (!fenced && before) {
            LOG.info("in contact with a quorum");
            if (now - fencedSinceMs > REGISTRY_STALE_MS) {
                servers.catchUp(now);
            }
        }
    }

    private void beat(long now) {
        List<EdgeLease> leases = edges.drainDirect(now, lastBeatMs);
        lastBeatMs = now;
        nextBeatMs = now + BEAT_MS;
        Optional<RegisterReplica.Chosen> chosen = register.chosen();
        peers.sendToAll(
                new Message.CoreBeat(
                        peers.nextBeat(now),
                        chosen.map(known -> known.value().revision()).orElse(-1L),
                        chosen.map(RegisterReplica.Chosen::ballot).orElse(Ballot.ZERO),
                        register.accepted(),
                        register.highest(),
                        register.acceptors(),
                        registry.isComplete(now),
                        registry.digest(),
                        peers.inContact(now, CONTACT_MS),
                        registry.drainHeard(),
                        leases));
    }

    /** Whoever holds that role looks after the set of acceptors. */
    private void maintainAcceptors(long now) {
        election.tick(now);
        if (!election.isHolder(now) || isFenced() || maintaining || register.chosen().isEmpty()) {
            return;
        }
        Optional<Change> due =
                maintenance.due(
                        register.acceptors(), peers.known(), core -> contact.ageMs(now, core));
        due.ifPresent(
                change -> {
                    maintaining = true;
                    register.submit(
                            now,
                            change,
                            now + ORDER_LIMIT_MS,
                            outcome -> {
                                maintaining = false;
                                LOG.info("the set of acceptors: {}", register.acceptors());
                            });
                });
    }

    // ---- messages ----

    private RecordChannel.Receiver receiver() {
        return new RecordChannel.Receiver() {
            @Override
            public void received(Channel from, Message message) {
                CoreNode.this.received(from, message);
            }

            @Override
            public void closed(Channel channel) {
                polls.closed(channel);
            }
        };
    }

    private void received(Channel from, Message message) {
        if (message instanceof Message.Poll poll) {
            polls.poll(from, poll);
            return;
        }
        if (message instanceof Message.Hello hello) {
            from.attr(SENDER).set(hello.sender());
            peers.know(hello.sender(), now());
            return;
        }
        String sender = from.attr(SENDER).get();
        if (sender != null) {
            fromPeer(sender, message);
        }
    }

    private void fromPeer(String sender, Message message) {
        long now = now();
        if (message instanceof Message.CoreBeat beat) {
            onBeat(now, sender, beat);
        } else if (message instanceof Message.BeatEcho echo) {
            peers.echoed(sender, echo.sequence());
        } else if (message instanceof Message.RegisterVote vote) {
            register.on(now, sender, vote.vote());
        } else if (message instanceof Message.Learn learn) {
            register.learn(new RegisterReplica.Chosen(learn.ballot(), learn.value()), false);
        } else if (message instanceof Message.RoleClaim claim) {
            if (election.claimed(now, sender, claim.term())) {
                peers.send(sender, new Message.RoleGrant(claim.term()));
            }
        } else if (message instanceof Message.RoleGrant grant) {
            election.granted(sender, grant.term(), register.acceptors());
        } else if (message instanceof Message.FetchValue) {
            register.chosen()
                    .ifPresent(
                            chosen ->
                                    peers.send(
                                            sender,
                                            new Message.Learn(chosen.ballot(), chosen.value())));
        } else if (message instanceof Message.ServersChanged changed) {
            servers.takeIn(now, changed.servers());
            if (changed.request() != 0) {
                peers.send(sender, new Message.ServersHeld(changed.request()));
            }
        } else if (message instanceof Message.ServersHeld held) {
            servers.held(sender, held.request());
        } else if (message instanceof Message.FetchRegistry) {
            peers.send(sender, servers.snapshot(now));
        } else if (message instanceof Message.RegistrySnapshot snapshot) {
            servers.takeIn(now, snapshot);
        }
    }

    private void onBeat(long now, String sender, Message.CoreBeat beat) {
        peers.send(sender, new Message.BeatEcho(beat.sequence()));
        beat.cores().forEach(core -> peers.know(core, now));
        register.peerHolds(now, beat.accepted(), beat.promised(), beat.acceptors());
        long known = register.chosen().map(chosen -> chosen.value().revision()).orElse(-1L);
        Ballot ballot = register.chosen().map(RegisterReplica.Chosen::ballot).orElse(Ballot.ZERO);
        if (beat.revision() > known
                || beat.revision() == known && beat.chosen().compareTo(ballot) > 0) {
            peers.send(sender, new Message.FetchValue());
        }
        beat.edges().forEach(edge -> edges.relayed(now, edge));
        servers.compare(now, sender, beat);
    }

    private void news() {
        if (!newsPending) {
            newsPending = true;
            loop.execute(
                    () -> {
                        newsPending = false;
                        polls.news();
                    });
        }
    }

    // ---- servers ----

    @Override
    public void register(ServerRecord server, Consumer<Boolean> acknowledged) {
        servers.register(now(), server, acknowledged);
    }

    @Override
    public void leave(String id, Consumer<Boolean> acknowledged) {
        servers.leave(now(), id, acknowledged);
    }

    // ---- operators ----

    @Override
    public void change(ConfigOrder order, Consumer<OrderResult> end) {
        long now = now();
        if (isFenced()) {
            end.accept(new OrderResult.Unclear());
            return;
        }
        register.submit(
                now, order, now + ORDER_LIMIT_MS, outcome -> end.accept(order.resultOf(outcome)));
    }

    @Override
    public void readConfig(Consumer<ControlApi.Answer> end) {
        long now = now();
        register.submit(
                now,
                Change.READ,
                now + ORDER_LIMIT_MS,
                outcome -> {
                    if (outcome instanceof Outcome.Chosen read && read.value().generation() > 0) {
                        end.accept(
                                new ControlApi.Answer(
                                        HttpResponseStatus.OK,
                                        DocumentCodec.decode(read.value().document())));
                    } else {
                        end.accept(
                                ControlApi.Answer.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "{}"));
                    }
                });
    }

    @Override
    public String status() {
        return new StatusPage(now(), self, register, registry, edges, peers, contact, fenced)
                .json();
    }

    // ---- the register's host ----

    @Override
    public void send(String acceptor, Vote vote) {
        if (acceptor.equals(self)) {
            loop.execute(() -> register.on(now(), self, vote));
        } else {
            peers.send(acceptor, new Message.RegisterVote(vote));
        }
    }

    @Override
    public void chosen(RegisterReplica.Chosen chosen, boolean own) {
        LOG.info("in force: {}", chosen.value());
        chosen.value().acceptors().everyone().forEach(acceptor -> peers.know(acceptor, now()));
        if (own) {
            peers.sendToAll(new Message.Learn(chosen.ballot(), chosen.value()));
        }
        news();
    }

    // ---- what polls are answered from ----

    @Override
    public Optional<RegisterValue> value() {
        return isFenced()
                ? Optional.empty()
                : register.chosen()
                        .map(RegisterReplica.Chosen::value)
                        .filter(value -> value.generation() > 0);
    }

    @Override
    public long quorumAgeMs() {
        AcceptorSet acceptors = register.acceptors();
        return acceptors.members().isEmpty()
                ? Integer.MAX_VALUE
                : contact.quorumAgeMs(now(), acceptors);
    }

    @Override
    public List<String> cores() {
        return peers.inContact(now(), CONTACT_MS);
    }
}
