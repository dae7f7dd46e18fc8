package poppynotch.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.RegisterValue;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.TenantUsage;

/**
 * Long polls to two core processes at once, so that news comes also while one of them hangs. A core
 * process that is silent, or out of contact with a quorum, gives way to another. It does no I/O of
 * its own and is told the time.
 */
public final class ControlClient {

    private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);
    private static final int LINKS = 2;

    /** An answer is due within this time: core processes hold polls for less than half of it. */
    private static final long SILENCE_MS = 600;

    /** A core process that failed is asked again after this time, sooner if there is no other. */
    private static final long AVOID_MS = 1500;

    private static final long QUORUM_AGE_MS = 1000;

    /** A core process that no other has named for so long is forgotten; seeds are not. */
    private static final long FORGET_MS = 60_000;

    /** Where the answers go. */
    public interface Listener extends QuotaUsageTracker.Sink {
        void value(RegisterValue value);

        void servers(Collection<ServerRecord> servers);

        void place(int edges, int number);

        /** Where all edges take datagrams. */
        void edges(List<String> addresses);

        /** What this edge has used since its start. */
        Map<String, Long> used();

        /** The revision of the configuration in force, or -1. */
        long revision();
    }

    private final class Link implements ControlConnector.User {
        final int index;
        String core;
        ControlConnector.Connection connection;
        boolean connecting;
        long sentMs;
        boolean waiting;
        long poll;
        long coreIncarnation;
        long registryVersion;

        /** The latest time for which the core process has vouched for what it said. */
        long goodMs = Long.MIN_VALUE / 2;

        final Map<String, Long> reported = new HashMap<>();

        Link(int index) {
            this.index = index;
        }

        void connect(long now, String to) {
            core = to;
            connecting = true;
            sentMs = now;
            connector.connect(to, this);
        }

        @Override
        public void unreachable() {
            connecting = false;
            leave("it can't be reached");
        }

        @Override
        public void connected(ControlConnector.Connection fresh) {
            connecting = false;
            connection = fresh;
            reported.clear();
            quotas.begins(index);
            coreIncarnation = 0;
            registryVersion = 0;
            directory.forget(index);
            poll();
        }

        @Override
        public void closed(ControlConnector.Connection ended) {
            if (ended.equals(connection)) {
                leave("the connection has ended");
            }
        }

        void leave(String why) {
            ControlConnector.Connection before = connection;
            connection = null;
            waiting = false;
            if (core != null) {
                avoidUntilMs.put(core, clock.getAsLong() + AVOID_MS);
                LOG.debug("leaves core process {}: {}", core, why);
            }
            core = null;
            if (before != null) {
                before.close();
            }
        }

        void poll() {
            List<TenantUsage> usage = new ArrayList<>();
            listener.used()
                    .forEach(
                            (tenant, amount) -> {
                                if (amount > reported.getOrDefault(tenant, 0L)) {
                                    reported.put(tenant, amount);
                                    usage.add(new TenantUsage(tenant, amount));
                                }
                            });
            sentMs = clock.getAsLong();
            waiting = true;
            connection.send(
                    new Message.Poll(
                            name,
                            incarnation,
                            ownAddress,
                            ++poll,
                            listener.revision(),
                            coreIncarnation,
                            registryVersion,
                            usage));
        }

        @Override
        public void received(ControlConnector.Connection from, Message message) {
            if (!from.equals(connection)
                    || !(message instanceof Message.PollReply reply)
                    || reply.poll() != poll) {
                return;
            }
            waiting = false;
            if (reply.quorumAgeMs() > QUORUM_AGE_MS) {
                leave("it has no quorum");
                return;
            }
            take(reply);
            if (connection != null) {
                poll();
            }
        }

        private void take(Message.PollReply reply) {
            long now = clock.getAsLong();
            // The answer may have been under way for long, but was made after the poll was sent.
            goodMs = sentMs - reply.quorumAgeMs();
            reply.cores().forEach(known -> cores.merge(known, now, Math::max));
            cores.values().removeIf(heardMs -> now - heardMs > FORGET_MS);
            // Before a first configuration: quotas begin with a share that follows from the place.
            listener.place(reply.edges(), reply.number());
            if (reply.value() != null && reply.value().revision() > listener.revision()) {
                listener.value(reply.value());
            }
            if (directory.update(
                    index, reply.wholeRegistry(), reply.registryComplete(), reply.servers())) {
                listener.servers(directory.servers());
            }
            coreIncarnation = reply.coreIncarnation();
            registryVersion = reply.registryVersion();
            if (!reply.edgeAddresses().isEmpty()) {
                listener.edges(reply.edgeAddresses());
            }
            quotas.told(now, goodMs, index, reply.reporting(), reply.usage(), reported);
        }
    }

    private final String name;
    private final String ownAddress;
    private final LongSupplier clock;
    private final Listener listener;
    private final ControlConnector connector;
    private final SplittableRandom random;
    private final long incarnation;
    private final ServerDirectory directory = new ServerDirectory();
    private final Map<String, Long> cores = new LinkedHashMap<>();
    private final Map<String, Long> avoidUntilMs = new HashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final QuotaUsageTracker quotas;

    /**
     * A client for an edge.
     *
     * @param name of the edge
     * @param ownAddress where it takes other edges' datagrams
     * @param incarnation unique to this life of the edge
     */
    public ControlClient(
            String name,
            String ownAddress,
            long incarnation,
            LongSupplier clock,
            ControlConnector connector,
            Listener listener) {
        this.name = name;
        this.ownAddress = ownAddress;
        this.incarnation = incarnation;
        this.clock = clock;
        this.connector = connector;
        this.listener = listener;
        random = new SplittableRandom(incarnation);
        quotas = new QuotaUsageTracker(listener, SILENCE_MS);
        for (int i = 0; i < LINKS; i++) {
            links.add(new Link(i));
        }
    }

    /** Takes in seeds: control addresses of core processes. */
    public void know(List<String> seeds) {
        seeds.forEach(seed -> cores.put(seed, Long.MAX_VALUE));
    }

    /** A server has told that it is not the one that was meant. */
    public void misdirected(String id) {
        if (directory.markLeft(id)) {
            listener.servers(directory.servers());
        }
    }

    /** Asks where nothing is asked, and leaves those who don't answer. */
    public void tick() {
        long now = clock.getAsLong();
        for (Link link : links) {
            if (link.connection != null && link.waiting && now - link.sentMs > SILENCE_MS) {
                link.leave("it is silent");
            }
            if (link.connection == null && !link.connecting) {
                String next = next(now, link);
                if (next != null) {
                    link.connect(now, next);
                }
            }
        }
    }

    /** A core process that no other link uses, none that failed lately if there is a choice. */
    private String next(long now, Link link) {
        List<String> free =
                cores.keySet().stream()
                        .filter(core -> links.stream().noneMatch(other -> core.equals(other.core)))
                        .toList();
        List<String> good =
                free.stream()
                        .filter(core -> now >= avoidUntilMs.getOrDefault(core, Long.MIN_VALUE))
                        .toList();
        if (!good.isEmpty()) {
            return good.get(random.nextInt(good.size()));
        }
        boolean otherServes =
                links.stream().anyMatch(other -> other != link && other.connection != null);
        return free.isEmpty() || otherServes ? null : free.get(random.nextInt(free.size()));
    }
}
