package poppynotch.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.AcceptorSet;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Keeps the registries of all core processes alike: tells the others what changes here, takes in
 * what changes there, and acknowledges a drain or an end only once a majority holds it. Owned by
 * the event loop.
 */
final class RegistryReplicator {

    private static final Logger LOG = LoggerFactory.getLogger(RegistryReplicator.class);

    /** A change that no majority holds after this time is not acknowledged. */
    private static final long HOLD_LIMIT_MS = 900;

    /** A core process counts for a majority if it was in contact within this time. */
    private static final long CONTACT_MS = 2000;

    /** Heartbeats in a row with another registry's digest, after which it is fetched. */
    private static final int DIGEST_MISMATCHES = 2;

    private static final int MOST_DRAINS = 4096;

    /** A change that is acknowledged once a majority of the core holds it. */
    private static final class Holding {
        final Set<String> holders = new HashSet<>();
        final Set<String> core;
        final Consumer<Boolean> end;
        final long untilMs;

        Holding(Set<String> core, Consumer<Boolean> end, long untilMs) {
            this.core = core;
            this.end = end;
            this.untilMs = untilMs;
        }

        boolean isHeld() {
            return 2 * core.stream().filter(holders::contains).count() > core.size();
        }
    }

    private final String self;
    private final ServerRegistry registry;
    private final PeerNetwork peers;
    private final Supplier<AcceptorSet> acceptors;
    private final BooleanSupplier fenced;
    private final Runnable news;
    private final Map<Long, Holding> holdings = new HashMap<>();
    private final Map<String, Integer> mismatches = new HashMap<>();

    /** Servers whose drain a majority of the core holds. */
    private final Set<String> heldDrains = new LinkedHashSet<>();

    private long nextRequest = 1;

    /**
     * A service of one core process.
     *
     * @param acceptors who decides on the register: they count for a majority also when out of
     *     contact
     * @param fenced whether this process is out of contact with a quorum, and so may acknowledge
     *     nothing
     * @param news run when edges are to be told
     */
    RegistryReplicator(
            String self,
            ServerRegistry registry,
            PeerNetwork peers,
            Supplier<AcceptorSet> acceptors,
            BooleanSupplier fenced,
            Runnable news) {
        this.self = self;
        this.registry = registry;
        this.peers = peers;
        this.acceptors = acceptors;
        this.fenced = fenced;
        this.news = news;
    }

    /** A server registers. */
    void register(long nowMs, ServerRecord server, Consumer<Boolean> acknowledged) {
        if (fenced.getAsBoolean()) {
            acknowledged.accept(false);
            return;
        }
        boolean drains = server.state() == ServerState.DRAINING;
        if (registry.apply(nowMs, server)) {
            LOG.info(
                    "server {} of {} at {} is {}",
                    server.id(),
                    server.backend(),
                    server.address(),
                    server.state());
            news.run();
            if (!drains) {
                spread(nowMs, server, done -> {});
            }
        }
        if (!drains || heldDrains.contains(server.id())) {
            acknowledged.accept(true);
            return;
        }
        spread(
                nowMs,
                server,
                held -> {
                    if (held) {
                        rememberDrain(server.id());
                    }
                    acknowledged.accept(held);
                });
    }

    private void rememberDrain(String id) {
        heldDrains.add(id);
        if (heldDrains.size() > MOST_DRAINS) {
            heldDrains.remove(heldDrains.iterator().next());
        }
    }

    /** A server says that it ends. */
    void leave(long nowMs, String id, Consumer<Boolean> acknowledged) {
        if (fenced.getAsBoolean()) {
            acknowledged.accept(false);
            return;
        }
        // Others may list a server that is not known here: its end is held and told all the same.
        ServerRecord left = registry.leave(nowMs, id);
        LOG.info("server {} of {} has left", id, left.backend());
        news.run();
        spread(nowMs, left, acknowledged);
    }

    /** Tells the other core processes, and ends once a majority holds it. */
    private void spread(long nowMs, ServerRecord server, Consumer<Boolean> end) {
        Set<String> core = new HashSet<>(peers.inContact(nowMs, CONTACT_MS));
        core.addAll(acceptors.get().everyone());
        long request = nextRequest++;
        holdings.put(request, new Holding(core, end, nowMs + HOLD_LIMIT_MS));
        peers.sendToAll(new Message.ServersChanged(request, List.of(server)));
        held(self, request);
    }

    /** A core process holds a change. */
    void held(String holder, long request) {
        Holding holding = holdings.get(request);
        if (holding == null) {
            return;
        }
        holding.holders.add(holder);
        if (holding.isHeld()) {
            holdings.remove(request);
            holding.end.accept(true);
        }
    }

    /** Another core process tells of changes. */
    void takeIn(long nowMs, List<ServerRecord> servers) {
        boolean changed = false;
        for (ServerRecord server : servers) {
            if (server.state() != ServerState.EXPIRED) {
                changed |= registry.applyHearsay(nowMs, server);
            }
        }
        if (changed) {
            news.run();
        }
    }

    /** Another core process gives its whole registry. */
    void takeIn(long nowMs, Message.RegistrySnapshot snapshot) {
        takeIn(nowMs, snapshot.servers());
        if (snapshot.complete()) {
            registry.markComplete(nowMs);
        }
    }

    /** The whole registry, for another core process. */
    Message.RegistrySnapshot snapshot(long nowMs) {
        boolean complete = !fenced.getAsBoolean() && registry.isComplete(nowMs);
        return new Message.RegistrySnapshot(complete, registry.firstHand());
    }

    /** A heartbeat of another core process: fetches its registry where the two differ for long. */
    void compare(long nowMs, String sender, Message.Heartbeat beat) {
        beat.heard().forEach(heard -> registry.heard(nowMs, heard.id(), heard.sequence()));
        boolean differs = beat.registryDigest() != registry.digest();
        int times = differs ? mismatches.merge(sender, 1, Integer::sum) : 0;
        if (!differs) {
            mismatches.remove(sender);
        }
        if (times > DIGEST_MISMATCHES || !registry.isComplete(nowMs) && beat.registryComplete()) {
            mismatches.remove(sender);
            peers.send(sender, new Message.FetchRegistry());
        }
    }

    /** This process was out of contact: meanwhile servers may have come and gone elsewhere. */
    void catchUp(long nowMs) {
        registry.restart(nowMs);
        peers.sendToAll(new Message.FetchRegistry());
    }

    /** Ends leases, and what was not acknowledged in time. */
    void tick(long nowMs) {
        if (registry.tick(nowMs)) {
            news.run();
        }
        List<Holding> late =
                holdings.values().stream().filter(holding -> nowMs >= holding.untilMs).toList();
        holdings.values().removeAll(late);
        late.forEach(holding -> holding.end.accept(false));
    }
}
