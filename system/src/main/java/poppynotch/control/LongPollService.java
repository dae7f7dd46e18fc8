package poppynotch.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import poppynotch.register.RegisterValue;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.TenantUsage;

/**
 * Edges' long polls: each is answered when there is news for it, or after a short time as a sign of
 * life. It does no I/O and is told the time.
 *
 * @param <C> what stands for an edge's connection
 */
final class LongPollService<C> {

    /** A poll without news is answered after this time. */
    private static final long HOLD_MS = 200;

    /** What the answers are made from. */
    interface Source {
        /** The newest value that is chosen, where this process may vouch for it. */
        Optional<RegisterValue> value();

        long quorumAgeMs();

        List<String> cores();
    }

    private static final class Waiting {
        final Message.Poll poll;
        final long untilMs;

        Waiting(Message.Poll poll, long untilMs) {
            this.poll = poll;
            this.untilMs = untilMs;
        }
    }

    private final long incarnation;
    private final ServerRegistry registry;
    private final EdgeDirectory edges;
    private final Source source;
    private final LongSupplier clock;
    private final BiConsumer<C, Message> replies;
    private final Map<C, Waiting> waiting = new LinkedHashMap<>();

    /** The version of the totals that each connection was told last. */
    private final Map<C, Long> toldUsage = new HashMap<>();

    /** The edges' addresses that each connection was told last. */
    private final Map<C, List<String>> toldEdges = new HashMap<>();

    LongPollService(
            long incarnation,
            ServerRegistry registry,
            EdgeDirectory edges,
            Source source,
            LongSupplier clock,
            BiConsumer<C, Message> replies) {
        this.incarnation = incarnation;
        this.registry = registry;
        this.edges = edges;
        this.source = source;
        this.clock = clock;
        this.replies = replies;
    }

    void poll(C from, Message.Poll poll) {
        long now = clock.getAsLong();
        edges.renew(now, poll.edge(), poll.incarnation(), poll.address(), poll.usage());
        Waiting parked = new Waiting(poll, now + HOLD_MS);
        if (hasNews(poll)) {
            reply(from, parked);
        } else {
            waiting.put(from, parked);
        }
    }

    void closed(C channel) {
        waiting.remove(channel);
        toldUsage.remove(channel);
        toldEdges.remove(channel);
    }

    /** Something has changed that edges are to know at once. */
    void news() {
        Iterator<Map.Entry<C, Waiting>> all = waiting.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<C, Waiting> next = all.next();
            if (hasNews(next.getValue().poll)) {
                all.remove();
                reply(next.getKey(), next.getValue());
            }
        }
    }

    void tick(long nowMs) {
        Iterator<Map.Entry<C, Waiting>> all = waiting.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<C, Waiting> next = all.next();
            if (nowMs >= next.getValue().untilMs) {
                all.remove();
                reply(next.getKey(), next.getValue());
            }
        }
    }

    private boolean hasNews(Message.Poll poll) {
        return poll.coreIncarnation() != incarnation
                || poll.registryVersion() < registry.version()
                || source.value().filter(value -> value.revision() > poll.revision()).isPresent();
    }

    private void reply(C to, Waiting answered) {
        Message.Poll poll = answered.poll;
        long now = clock.getAsLong();
        boolean whole = poll.coreIncarnation() != incarnation;
        RegisterValue value =
                source.value()
                        .filter(newest -> newest.revision() > poll.revision())
                        .map(LongPollService::forEdges)
                        .orElse(null);
        List<ServerRecord> servers =
                whole ? registry.all() : registry.changesSince(poll.registryVersion());
        EdgeDirectory.Place place = edges.place(now, poll.edge());
        List<TenantUsage> usage = edges.totalsSince(whole ? 0 : toldUsage.getOrDefault(to, 0L));
        toldUsage.put(to, edges.usageVersion());
        List<String> addresses = edges.addresses(now);
        boolean sameEdges = addresses == toldEdges.put(to, addresses);
        replies.accept(
                to,
                new Message.PollReply(
                        poll.poll(),
                        incarnation,
                        (int) Math.min(Integer.MAX_VALUE, source.quorumAgeMs()),
                        value,
                        whole,
                        registry.isComplete(now),
                        registry.version(),
                        servers,
                        place.edges(),
                        place.number(),
                        edges.reporting(now),
                        usage,
                        source.cores(),
                        sameEdges ? List.of() : addresses));
    }

    /** Edges need no history. */
    private static RegisterValue forEdges(RegisterValue value) {
        return new RegisterValue(
                value.revision(),
                value.acceptors(),
                value.generation(),
                value.document(),
                List.of());
    }
}
