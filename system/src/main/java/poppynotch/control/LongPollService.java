package poppynotch.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import poppynotch.register.RegisterValue;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.TenantUsage;

/**
 * The long polls of the edges: each is answered as soon as there is an update for it, or after
 * {@value #MAX_WAIT_MS} ms without one, so that the edge knows that this replica is alive.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in. The state of
 * a connection is released by {@link #onConnectionClosed}.
 *
 * @param <C> the handle of an edge's connection; used as a map key
 */
final class LongPollService<C> {

    /** A poll without an update is answered after this time. */
    private static final long MAX_WAIT_MS = 200;

    /** The state that replies contain. */
    interface Source {
        /** The newest chosen value; empty if this replica can't confirm it as current. */
        Optional<RegisterValue> confirmedValue();

        /** Time since a quorum last confirmed that value. */
        long quorumAgeMs();

        /** Control addresses of the replicas in recent contact, this one included. */
        List<String> reachableReplicas();
    }

    private record WaitingPoll(Message.Poll poll, long deadlineMs) {}

    private final long incarnation;
    private final ServerRegistry registry;
    private final EdgeDirectory edges;
    private final RolloutReportStore rolloutReports;
    private final Source source;
    private final LongSupplier clock;
    private final BiConsumer<C, Message> replies;

    /** At most one for each connection, in the order of arrival. */
    private final Map<C, WaitingPoll> waiting = new LinkedHashMap<>();

    /** The version of the tenants' totals that was last sent on each connection. */
    private final Map<C, Long> sentUsageVersion = new HashMap<>();

    /** The edges' addresses that were last sent on each connection. */
    private final Map<C, List<String>> sentEdgeAddresses = new HashMap<>();

    /**
     * Creates a service without connections.
     *
     * @param incarnation the incarnation of this process; an edge whose last reply came from
     *     another one is sent the complete state
     * @param replies sends a reply on a connection
     */
    LongPollService(
            long incarnation,
            ServerRegistry registry,
            EdgeDirectory edges,
            RolloutReportStore rolloutReports,
            Source source,
            LongSupplier clock,
            BiConsumer<C, Message> replies) {
        this.incarnation = incarnation;
        this.registry = registry;
        this.edges = edges;
        this.rolloutReports = rolloutReports;
        this.source = source;
        this.clock = clock;
        this.replies = replies;
    }

    /** Renews the edge's lease, and answers the poll now if there is an update for it. */
    void onPoll(C connection, Message.Poll poll) {
        long nowMs = clock.getAsLong();
        edges.renewLease(nowMs, poll.edge(), poll.incarnation(), poll.address(), poll.usage());
        rolloutReports.onReports(poll.rolloutReports());
        if (hasUpdate(poll)) {
            reply(connection, poll);
        } else {
            waiting.put(connection, new WaitingPoll(poll, nowMs + MAX_WAIT_MS));
        }
    }

    /** Discards the state of a closed connection. */
    void onConnectionClosed(C connection) {
        waiting.remove(connection);
        sentUsageVersion.remove(connection);
        sentEdgeAddresses.remove(connection);
    }

    /** Answers the waiting polls that there is an update for. */
    void publishUpdate() {
        replyWhere(waitingPoll -> hasUpdate(waitingPoll.poll()));
    }

    /** Answers the waiting polls that are past their deadline. */
    void tick(long nowMs) {
        replyWhere(waitingPoll -> nowMs >= waitingPoll.deadlineMs());
    }

    private void replyWhere(Predicate<WaitingPoll> isDue) {
        Iterator<Map.Entry<C, WaitingPoll>> iterator = waiting.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<C, WaitingPoll> next = iterator.next();
            if (isDue.test(next.getValue())) {
                iterator.remove();
                reply(next.getKey(), next.getValue().poll());
            }
        }
    }

    private boolean hasUpdate(Message.Poll poll) {
        return poll.controlIncarnation() != incarnation
                || poll.registryVersion() < registry.version()
                || source.confirmedValue()
                        .filter(value -> value.revision() > poll.revision())
                        .isPresent();
    }

    private void reply(C connection, Message.Poll poll) {
        long nowMs = clock.getAsLong();
        boolean complete = poll.controlIncarnation() != incarnation;
        RegisterValue value =
                source.confirmedValue()
                        .filter(newest -> newest.revision() > poll.revision())
                        .map(LongPollService::withoutHistory)
                        .orElse(null);
        List<ServerRecord> servers =
                complete ? registry.all() : registry.changesSince(poll.registryVersion());
        EdgeDirectory.EdgeRank rank = edges.rankOf(nowMs, poll.edge());
        List<TenantUsage> usage =
                edges.totalsSince(complete ? 0 : sentUsageVersion.getOrDefault(connection, 0L));
        sentUsageVersion.put(connection, edges.usageVersion());
        replies.accept(
                connection,
                new Message.PollReply(
                        poll.pollId(),
                        incarnation,
                        (int) Math.min(Integer.MAX_VALUE, source.quorumAgeMs()),
                        value,
                        complete,
                        registry.isComplete(nowMs),
                        registry.version(),
                        servers,
                        rank.edgeCount(),
                        rank.index(),
                        edges.reportingCount(nowMs),
                        usage,
                        source.reachableReplicas(),
                        changedEdgeAddresses(nowMs, connection)));
    }

    /** The edges' addresses; empty if the connection was sent the same ones with its last reply. */
    private List<String> changedEdgeAddresses(long nowMs, C connection) {
        List<String> addresses = edges.liveAddresses(nowMs);
        List<String> sentBefore = sentEdgeAddresses.put(connection, addresses);
        // By identity: the directory returns the same list while the addresses have not changed.
        return addresses == sentBefore ? List.of() : addresses;
    }

    /** Edges do not need the history of changes. */
    private static RegisterValue withoutHistory(RegisterValue value) {
        return value.withHistory(List.of());
    }
}
