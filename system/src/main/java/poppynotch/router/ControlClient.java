package poppynotch.router;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.RegisterValue;
import poppynotch.settings.HostPort;
import poppynotch.settings.NodeSettings;
import poppynotch.wire.Message;
import poppynotch.wire.RecordChannel;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.Usage;

/**
 * Long polls to two core processes at once, so that news comes also while one of them hangs. A core
 * process that is silent, or out of contact with a quorum, gives way to another. Owned by the event
 * loop.
 */
final class ControlClient {

    private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);
    private static final int LINKS = 2;
    private static final int CONNECT_MS = 400;

    /** An answer is due within this time: core processes hold polls for less than half of it. */
    private static final long SILENCE_MS = 600;

    /** A core process that failed is asked again after this time, sooner if there is no other. */
    private static final long AVOID_MS = 1500;

    private static final long QUORUM_AGE_MS = 1000;

    /** Without any good answer for so long, this edge counts as out of contact. */
    private static final long CONTACT_MS = 1500;

    /** A core process that no other has named for so long is forgotten; seeds are not. */
    private static final long FORGET_MS = 60_000;

    /** Where the answers go. */
    interface Listener extends QuotaFeed.Sink {
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

    private final class Link {
        final int index;
        String core;
        Channel channel;
        boolean connecting;
        long sentMs;
        boolean waiting;
        long poll;
        long coreIncarnation;
        long registryVersion;
        long goodMs = Long.MIN_VALUE / 2;
        final Map<String, Long> reported = new HashMap<>();

        Link(int index) {
            this.index = index;
        }

        void connect(long now, String to) {
            core = to;
            connecting = true;
            sentMs = now;
            HostPort at = HostPort.parse(to).withPort(settings.peerPort());
            ChannelFuture future =
                    bootstrap
                            .clone()
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel fresh) {
                                            RecordChannel.install(
                                                    fresh.pipeline(),
                                                    (from, message) -> received(from, message));
                                        }
                                    })
                            .connect(at.socketAddress());
            future.addListener(
                    done -> {
                        connecting = false;
                        if (done.isSuccess()) {
                            connected(future.channel());
                        } else {
                            leave("it can't be reached");
                        }
                    });
        }

        private void connected(Channel fresh) {
            channel = fresh;
            reported.clear();
            quotas.begins(index);
            coreIncarnation = 0;
            registryVersion = 0;
            directory.forget(index);
            fresh.closeFuture()
                    .addListener(
                            closed -> {
                                if (channel == fresh) {
                                    leave("the connection has ended");
                                }
                            });
            poll();
        }

        void leave(String why) {
            Channel before = channel;
            channel = null;
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
            List<Usage> usage = new ArrayList<>();
            listener.used()
                    .forEach(
                            (tenant, amount) -> {
                                if (amount > reported.getOrDefault(tenant, 0L)) {
                                    reported.put(tenant, amount);
                                    usage.add(new Usage(tenant, amount));
                                }
                            });
            sentMs = clock.getAsLong();
            waiting = true;
            RecordChannel.send(
                    channel,
                    new Message.Poll(
                            settings.name(),
                            incarnation,
                            ownAddress,
                            ++poll,
                            listener.revision(),
                            coreIncarnation,
                            registryVersion,
                            usage));
        }

        private void received(Channel from, Message message) {
            if (from != channel
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
            if (channel != null) {
                poll();
            }
        }

        private void take(Message.PollReply reply) {
            goodMs = clock.getAsLong();
            reply.cores().forEach(known -> cores.merge(known, goodMs, Math::max));
            cores.values().removeIf(heardMs -> goodMs - heardMs > FORGET_MS);
            if (reply.value() != null && reply.value().revision() > listener.revision()) {
                listener.value(reply.value());
            }
            if (directory.update(
                    index, reply.wholeRegistry(), reply.registryComplete(), reply.servers())) {
                listener.servers(directory.servers());
            }
            coreIncarnation = reply.coreIncarnation();
            registryVersion = reply.registryVersion();
            listener.place(reply.edges(), reply.number());
            if (!reply.edgeAddresses().isEmpty()) {
                listener.edges(reply.edgeAddresses());
            }
            quotas.told(goodMs, index, reply.usage(), reported);
        }
    }

    private final NodeSettings settings;
    private final String ownAddress;
    private final LongSupplier clock;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final long incarnation = ThreadLocalRandom.current().nextLong() | 1;
    private final ServerDirectory directory = new ServerDirectory();
    private final Map<String, Long> cores = new LinkedHashMap<>();
    private final Map<String, Long> avoidUntilMs = new HashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final QuotaFeed quotas;

    ControlClient(EventLoop loop, NodeSettings settings, LongSupplier clock, Listener listener) {
        this.settings = settings;
        ownAddress = new HostPort(settings.ip(), settings.peerPort()).toString();
        this.clock = clock;
        this.listener = listener;
        quotas = new QuotaFeed(listener, SILENCE_MS);
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
        know(settings);
        for (int i = 0; i < LINKS; i++) {
            links.add(new Link(i));
        }
    }

    /** Takes in the seeds of settings. */
    void know(NodeSettings told) {
        told.seeds().forEach(seed -> cores.put(seed.toString(), Long.MAX_VALUE));
    }

    /** Whether a core process with a quorum has answered lately. */
    boolean inContact() {
        long now = clock.getAsLong();
        return links.stream().anyMatch(link -> now - link.goodMs <= CONTACT_MS);
    }

    /** A server has told that it is not the one that was meant. */
    void misdirected(String id) {
        if (directory.markLeft(id)) {
            listener.servers(directory.servers());
        }
    }

    /** Asks where nothing is asked, and leaves those who don't answer. */
    void tick() {
        long now = clock.getAsLong();
        for (Link link : links) {
            if (link.channel != null && link.waiting && now - link.sentMs > SILENCE_MS) {
                link.leave("it is silent");
            }
            if (link.channel == null && !link.connecting) {
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
            return good.get(ThreadLocalRandom.current().nextInt(good.size()));
        }
        boolean otherServes =
                links.stream().anyMatch(other -> other != link && other.channel != null);
        return free.isEmpty() || otherServes
                ? null
                : free.get(ThreadLocalRandom.current().nextInt(free.size()));
    }
}
