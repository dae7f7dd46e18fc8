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
 * One sidecar's pool of slots on the servers of one service, after Boxcar: a call takes the
 * lowest-ranked free slot, and a full pool rejects it. Slot k of a server has the rank k·B + ((own
 * number + hash of the server) mod B), with B the number of sidecars, so that no two sidecars hold
 * one rank at a server. For servers that run a model, the time to a call's first answer there comes
 * before it: what the server has yet to read of prompts, of this sidecar and of those that tell
 * theirs, and what it must read anew for the call. It does no I/O and is told the time.
 */
public final class ServerPool {

    /** The most slots in use at once, however many servers there are. */
    private static final int CEILING = 1024;

    /**
     * A sidecar may use so many times its even share of a server's slots: clients are spread
     * unevenly.
     */
    private static final double SHARE_FACTOR = 2.5;

    private static final int LEAST_SLOTS = 4;

    private final String zone;
    private Backend backend;
    private final Map<String, PooledServer> servers = new HashMap<>();
    private EdgePosition placement;
    private int inUse;

    /** An empty pool of a sidecar in {@code zone}. */
    public ServerPool(Backend backend, String zone) {
        this.backend = backend;
        this.zone = zone;
        placement = new EdgePosition(zone, 1, 0, 1);
    }

    /** The service as a newer configuration describes it. */
    public void configure(Backend newer) {
        backend = newer;
    }

    /**
     * How many sidecars there are, and which of them this one is.
     *
     * @param heardPart the part of the others' prompts that this one hears of, 0 to 1
     */
    public void place(int sidecars, int ownNumber, double heardPart) {
        placement = new EdgePosition(zone, Math.max(1, sidecars), ownNumber, heardPart);
    }

    /**
     * The servers that may take calls from now on; slots on others are dropped as their calls end.
     */
    public void update(Collection<ServerRecord> ready) {
        Set<String> named = new HashSet<>();
        for (ServerRecord server : ready) {
            named.add(server.id());
            PooledServer known = servers.get(server.id());
            if (known == null) {
                long memory = backend.kvTokens() > 0 ? backend.kvTokens() : 1;
                servers.put(server.id(), new PooledServer(server, memory));
            } else {
                known.update(server);
            }
        }
        servers.keySet().retainAll(named);
    }

    /** Whether any server may take calls. */
    public boolean hasServers() {
        return !servers.isEmpty();
    }

    /** Takes the lowest-ranked free slot for a call where no connections are kept. */
    public AcquireResult acquire(long nowMs, RequestProfile call, Set<String> excluded) {
        return acquire(nowMs, call, excluded, id -> false);
    }

    /**
     * Takes the lowest-ranked free slot for a call, but none on the excluded servers.
     *
     * @param connected whether an idle connection to a server, named by its id, is kept
     */
    public AcquireResult acquire(
            long nowMs, RequestProfile call, Set<String> excluded, Predicate<String> connected) {
        if (inUse >= CEILING) {
            return new AcquireResult.Full();
        }
        List<PooledServer> free = new ArrayList<>();
        boolean any = false;
        for (PooledServer server : servers.values()) {
            if (!excluded.contains(server.id())) {
                any = true;
                if (!server.ejection().isPaused(nowMs) && server.busy() < slotsOn(server)) {
                    free.add(server);
                }
            }
        }
        if (free.isEmpty()) {
            return any ? new AcquireResult.Full() : new AcquireResult.Nobody();
        }
        PooledServer best = lowestRanked(free, ranking(nowMs, call, free, connected));
        Slot slot = new Slot(nowMs, best, call, ModelServerRanking.freshTokens(call, best));
        best.take(nowMs, slot);
        inUse++;
        return new AcquireResult.Granted(slot);
    }

    private ToDoubleFunction<PooledServer> ranking(
            long nowMs, RequestProfile call, List<PooledServer> free, Predicate<String> connected) {
        return backend.hasEngine()
                ? new ModelServerRanking(
                        nowMs, placement, backend, call, servers.values(), free, connected)
                : SlotNumberRanking.of(nowMs, placement, connected);
    }

    private static PooledServer lowestRanked(
            List<PooledServer> free, ToDoubleFunction<PooledServer> ranking) {
        PooledServer best = null;
        double bestRank = Double.MAX_VALUE;
        for (PooledServer server : free) {
            double rank = ranking.applyAsDouble(server);
            if (best == null
                    || rank < bestRank
                    || rank == bestRank && server.hash() < best.hash()) {
                bestRank = rank;
                best = server;
            }
        }
        return best;
    }

    private int slotsOn(PooledServer server) {
        if (server.ejection().isOnTrial()) {
            return 1;
        }
        int slots = Math.max(1, server.record().slots());
        int share = (int) Math.ceil(SHARE_FACTOR * slots / placement.sidecars());
        return Math.min(slots, Math.max(LEAST_SLOTS, share));
    }

    /** Another sidecar sends a prompt to a server. */
    public void promptSentElsewhere(long nowMs, Message.PromptSent sent) {
        PooledServer server = servers.get(sent.serverId());
        if (server != null) {
            server.prompt(nowMs, sent.freshTokens(), sent.parts());
        }
    }

    /** The first part of the answer has come. */
    public void answered(long nowMs, Slot slot) {
        slot.server().firstAnswer(nowMs, slot);
    }

    /** More of an answer has come. */
    public void heard(long nowMs, Slot slot) {
        slot.server().heard(nowMs);
    }

    /** A server has told its load. */
    public void loadReported(long nowMs, Slot slot, int running, int waiting) {
        slot.server().load().reported(nowMs, running, waiting, slot.server().busy());
    }

    /**
     * When something last came from the server of a slot, on any connection; 0 if nothing has yet.
     */
    public long lastAnswerMs(Slot slot) {
        return slot.server().lastAnswerMs();
    }

    /** Tokens that the server of a slot has yet to read for this process. */
    public long backlogTokens(Slot slot) {
        return slot.server().load().backlogTokens();
    }

    /** Keeps new calls away from the server of a slot for a while. */
    public void suspect(long nowMs, Slot slot) {
        slot.server().ejection().pause(nowMs);
    }

    /** The call has left its slot. */
    public void release(long nowMs, Slot slot, SlotOutcome end) {
        if (slot.release()) {
            slot.server().free(nowMs, slot, end);
            inUse--;
        }
    }
}
