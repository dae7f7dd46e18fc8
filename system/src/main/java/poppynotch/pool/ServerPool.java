package poppynotch.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import poppynotch.config.Backend;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;

/**
 * One edge's pool of slots on the servers of one service, in the manner of Boxcar: a request takes
 * the lowest-ranked free slot, and a full pool rejects the request. {@link EdgePosition#slotRank}
 * defines the rank of a slot; no two edges have the same rank at one server. Servers that run a
 * model are ranked by the expected time until the first response instead, see {@link
 * ModelServerRanking}.
 *
 * <p>Confined to the edge's event loop; not thread-safe. It does no I/O. All times are in ms of the
 * caller's monotonic clock. Each slot granted by {@link #acquire} must be returned by {@link
 * #release}.
 */
public final class ServerPool {

    /** The maximum number of slots in use at once, whatever the number of servers. */
    private static final int MAX_SLOTS_IN_USE = 1024;

    /**
     * The multiple of its even share of a server's slots that one edge may use, as clients are
     * spread unevenly over the edges.
     */
    private static final double MAX_EVEN_SHARES = 2.5;

    private static final int MIN_SLOTS_PER_SERVER = 4;

    private final String zone;
    private Backend backend;
    private final Map<String, PooledServer> serversById = new HashMap<>();
    private EdgePosition position;
    private int slotsInUse;

    /** The number of slots in use for each version, also at servers that were removed. */
    private final Map<String, Integer> inFlightByVersion = new HashMap<>();

    /**
     * Creates a pool without servers.
     *
     * @param zone the zone of this edge
     */
    public ServerPool(Backend backend, String zone) {
        this.backend = backend;
        this.zone = zone;
        position = new EdgePosition(zone, 1, 0, 1);
    }

    /** The name of the service. */
    public String backendName() {
        return backend.name();
    }

    /** Applies a newer configuration of the service. */
    public void configure(Backend newer) {
        backend = newer;
    }

    /**
     * Sets the position of this edge among all edges.
     *
     * @param edgeCount the number of edges
     * @param edgeNumber the index of this edge among them, from 0
     * @param visiblePromptFraction the fraction of the other edges' prompts that this edge is
     *     notified of, 0 to 1
     */
    public void setPosition(int edgeCount, int edgeNumber, double visiblePromptFraction) {
        position =
                new EdgePosition(zone, Math.max(1, edgeCount), edgeNumber, visiblePromptFraction);
    }

    /**
     * Sets the servers that may take requests. Slots on other servers remain valid until they are
     * released.
     */
    public void setServers(Collection<ServerRecord> ready) {
        Set<String> readyIds = new HashSet<>();
        for (ServerRecord server : ready) {
            readyIds.add(server.id());
            PooledServer known = serversById.get(server.id());
            if (known == null) {
                long cacheTokens = backend.kvTokens() > 0 ? backend.kvTokens() : 1;
                serversById.put(server.id(), new PooledServer(server, cacheTokens));
            } else {
                known.setRecord(server);
            }
        }
        serversById.keySet().retainAll(readyIds);
    }

    /** The number of slots in use at servers of a version, also at servers that were removed. */
    public int inFlight(String version) {
        return inFlightByVersion.getOrDefault(version, 0);
    }

    /** Whether any server may take requests. */
    public boolean hasServers() {
        return !serversById.isEmpty();
    }

    /** Acquires a slot as {@link #acquire(long, RequestProfile, Set, Predicate)} does. */
    public AcquireResult acquire(long nowMs, RequestProfile request, Set<String> excluded) {
        return acquire(nowMs, request, excluded, id -> false);
    }

    /**
     * Acquires the lowest-ranked free slot for a request.
     *
     * @param excluded the ids of servers that must not get the request
     * @param hasIdleConnection whether an idle connection to the server with the given id is open
     */
    public AcquireResult acquire(
            long nowMs,
            RequestProfile request,
            Set<String> excluded,
            Predicate<String> hasIdleConnection) {
        return acquire(nowMs, request, excluded, hasIdleConnection, new VersionChoice.Any());
    }

    /**
     * Acquires the lowest-ranked free slot for a request, at servers of certain versions.
     *
     * @param excluded the ids of servers that must not get the request
     * @param hasIdleConnection whether an idle connection to the server with the given id is open
     * @param versions admits the servers that may get the request because of their versions
     */
    public AcquireResult acquire(
            long nowMs,
            RequestProfile request,
            Set<String> excluded,
            Predicate<String> hasIdleConnection,
            VersionChoice versions) {
        if (slotsInUse >= MAX_SLOTS_IN_USE) {
            return new AcquireResult.Full();
        }
        List<PooledServer> admitted = admitted(versions);
        List<PooledServer> candidates = candidates(admitted, excluded);
        if (candidates.isEmpty()) {
            return new AcquireResult.NoServer();
        }
        List<PooledServer> available = available(nowMs, candidates);
        if (available.isEmpty()) {
            return new AcquireResult.Full();
        }
        PooledServer best =
                lowestRanked(
                        available, ranking(nowMs, request, admitted, available, hasIdleConnection));
        Slot slot = new Slot(nowMs, best, request, best.uncachedTokens(request));
        best.onAcquired(nowMs, slot);
        slotsInUse++;
        inFlightByVersion.merge(slot.versionAtAcquire(), 1, Integer::sum);
        return new AcquireResult.Granted(slot);
    }

    private List<PooledServer> admitted(VersionChoice versions) {
        List<PooledServer> admitted = new ArrayList<>(serversById.size());
        for (PooledServer server : serversById.values()) {
            if (versions.admits(server.record())) {
                admitted.add(server);
            }
        }
        return admitted;
    }

    private static List<PooledServer> candidates(
            List<PooledServer> admitted, Set<String> excluded) {
        List<PooledServer> candidates = new ArrayList<>(admitted.size());
        for (PooledServer server : admitted) {
            if (!excluded.contains(server.id())) {
                candidates.add(server);
            }
        }
        return candidates;
    }

    /** Returns the candidates that are not ejected and have a free slot. */
    private List<PooledServer> available(long nowMs, List<PooledServer> candidates) {
        List<PooledServer> available = new ArrayList<>(candidates.size());
        for (PooledServer server : candidates) {
            boolean isEjected = server.outlierDetector().isEjected(nowMs);
            if (!isEjected && server.inFlight() < maxSlots(server)) {
                available.add(server);
            }
        }
        return available;
    }

    /** The number of a server's slots that this edge may use. */
    private int maxSlots(PooledServer server) {
        if (server.outlierDetector().isOnProbation()) {
            return 1;
        }
        int slots = Math.max(1, server.record().slots());
        int share = (int) Math.ceil(MAX_EVEN_SHARES * slots / position.edgeCount());
        return Math.min(slots, Math.max(MIN_SLOTS_PER_SERVER, share));
    }

    private ToDoubleFunction<PooledServer> ranking(
            long nowMs,
            RequestProfile request,
            List<PooledServer> admitted,
            List<PooledServer> available,
            Predicate<String> hasIdleConnection) {
        return backend.hasEngine()
                ? new ModelServerRanking(
                        nowMs, position, backend, request, admitted, available, hasIdleConnection)
                : new SlotNumberRanking(nowMs, position, hasIdleConnection);
    }

    /** Returns the server with the lowest rank; the servers' hashes decide between equal ranks. */
    private static PooledServer lowestRanked(
            List<PooledServer> servers, ToDoubleFunction<PooledServer> ranking) {
        PooledServer best = null;
        double bestRank = Double.MAX_VALUE;
        for (PooledServer server : servers) {
            double rank = ranking.applyAsDouble(server);
            boolean isTieWon = best != null && rank == bestRank && server.hash() < best.hash();
            if (best == null || rank < bestRank || isTieWon) {
                bestRank = rank;
                best = server;
            }
        }
        return best;
    }

    /** Records that another edge sends a prompt to a server; unknown servers are ignored. */
    public void onPromptSentElsewhere(long nowMs, Message.PromptSent sent) {
        PooledServer server = serversById.get(sent.serverId());
        if (server != null) {
            server.onPromptSentElsewhere(nowMs, sent.freshTokens(), sent.segments());
        }
    }

    /** Records that the first part of the response has arrived. */
    public void onFirstResponse(long nowMs, Slot slot) {
        slot.server().onFirstResponse(nowMs, slot);
    }

    /** Records that a further part of the response has arrived. */
    public void onResponseData(long nowMs, Slot slot) {
        slot.server().onResponseData(nowMs);
    }

    /**
     * Records the load that the server of a slot reported.
     *
     * @param running the number of requests that the server executes
     * @param waiting the number of requests that are queued at the server
     */
    public void onLoadReport(long nowMs, Slot slot, int running, int waiting) {
        PooledServer server = slot.server();
        server.reportedLoad().update(nowMs, running, waiting, server.inFlight());
    }

    /**
     * The time of the last data from the server of a slot, on any connection; 0 if there was none
     * yet.
     */
    public long lastResponseMs(Slot slot) {
        return slot.server().lastResponseMs();
    }

    /** The number of prompt tokens that the server of a slot has yet to prefill for this edge. */
    public long backlogTokens(Slot slot) {
        return slot.server().latency().backlogTokens();
    }

    /** Ejects the server of a slot for a while, so that it gets no new requests. */
    public void ejectServer(long nowMs, Slot slot) {
        slot.server().outlierDetector().eject(nowMs);
    }

    /** Releases a slot after its request has ended; releasing it again has no effect. */
    public void release(long nowMs, Slot slot, SlotOutcome outcome) {
        if (slot.markReleased()) {
            slot.server().onReleased(nowMs, slot, outcome);
            slotsInUse--;
            inFlightByVersion.computeIfPresent(
                    slot.versionAtAcquire(), (version, count) -> count == 1 ? null : count - 1);
        }
    }
}
