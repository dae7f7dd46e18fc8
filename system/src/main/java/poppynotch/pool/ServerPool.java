package poppynotch.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    /**
     * What a call that runs, or waits, adds to the time that a new one takes to its first answer,
     * in ms.
     */
    private static final double MS_PER_RUNNING = 2;

    private static final double MS_PER_WAITING = 60;

    /** What it costs all others, in ms, that a token is read anew which another server keeps. */
    private static final double MS_PER_TOKEN_AGAIN = 0.02;

    /**
     * The part of the shared tokens that the home of a prompt is taken to keep though it was not
     * seen: little where every sidecar hears of all prompts.
     */
    private static final double HOME_TRUST_HEARD = 0.2;

    private static final double HOME_TRUST_UNHEARD = 0.8;

    /** A waiting call at a server without a model is as bad as so many rounds of ranks. */
    private static final double ROUNDS_PER_WAITING = 2;

    /** Another zone costs a call without a model so many rounds of ranks. */
    private static final double ROUNDS_ACROSS_ZONES = 0.5;

    /** What a server that fails all its calls is ranked behind others by. */
    private static final double ROUNDS_PER_FAILURE = 8;

    private static final double MS_PER_FAILURE = 1500;

    /** Where a rank decides between equal costs, in ms a round. */
    private static final double MS_PER_ROUND = 1;

    /** A server whose memory own calls fill comes after all others. */
    private static final double FULL_MS = 60_000;

    /**
     * A server that keeps more than this part of its memory busy with own calls is left for later.
     */
    private static final double MEMORY_SHARE = 0.9;

    private final String zone;
    private Backend backend;
    private final Map<String, PooledServer> servers = new HashMap<>();
    private int edges = 1;
    private int number;
    private int inUse;
    private double homeTrust = HOME_TRUST_HEARD;

    /** An empty pool of a sidecar in {@code zone}. */
    public ServerPool(Backend backend, String zone) {
        this.backend = backend;
        this.zone = zone;
    }

    /** The service as a newer configuration describes it. */
    public void configure(Backend newer) {
        backend = newer;
    }

    /**
     * How many sidecars there are, and which of them this one is.
     *
     * @param hearsAll whether this one hears of every prompt that others send
     */
    public void place(int sidecars, int ownNumber, boolean hearsAll) {
        edges = Math.max(1, sidecars);
        number = ownNumber;
        homeTrust = hearsAll ? HOME_TRUST_HEARD : HOME_TRUST_UNHEARD;
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

    /** Takes the lowest-ranked free slot for a call, but none on the excluded servers. */
    public Acquired acquire(long nowMs, CallProfile call, Set<String> excluded) {
        if (inUse >= CEILING) {
            return new Acquired.Full();
        }
        List<PooledServer> free = new ArrayList<>();
        boolean any = false;
        for (PooledServer server : servers.values()) {
            if (!excluded.contains(server.id())) {
                any = true;
                if (!server.isPaused(nowMs) && server.busy() < slotsOn(server)) {
                    free.add(server);
                }
            }
        }
        if (free.isEmpty()) {
            return any ? new Acquired.Full() : new Acquired.Nobody();
        }
        PooledServer best = lowestRanked(nowMs, call, free);
        Slot slot = new Slot(nowMs, best, call, freshTokens(call, best, false));
        best.take(nowMs, slot);
        inUse++;
        return new Acquired.Granted(slot);
    }

    private PooledServer lowestRanked(long nowMs, CallProfile call, List<PooledServer> free) {
        PooledServer home = home(call);
        int mostKept = 0;
        if (backend.hasEngine()) {
            for (PooledServer server : free) {
                mostKept = Math.max(mostKept, server.cache().keptTokens(call.parts()));
            }
        }
        PooledServer best = null;
        double bestRank = Double.MAX_VALUE;
        for (PooledServer server : free) {
            double rank =
                    backend.hasEngine()
                            ? modelRank(nowMs, call, server, server == home, mostKept)
                            : plainRank(nowMs, server);
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
        if (server.isOnTrial()) {
            return 1;
        }
        int slots = Math.max(1, server.record().slots());
        int share = (int) Math.ceil(SHARE_FACTOR * slots / edges);
        return Math.min(slots, Math.max(LEAST_SLOTS, share));
    }

    /**
     * The server on which all sidecars look first for what such calls share: the same one for each.
     */
    private PooledServer home(CallProfile call) {
        if (call.parts().isEmpty()) {
            return null;
        }
        PooledServer best = null;
        long bestScore = Long.MIN_VALUE;
        for (PooledServer server : servers.values()) {
            long score = mix(call.affinityKey() ^ server.hash() * 0x9E3779B97F4A7C15L);
            if (best == null || score > bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return best;
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /** The design's rank of the next slot on a server. */
    private double slotRank(long nowMs, PooledServer server) {
        return server.lowestFree(nowMs) * (double) edges + (number + server.hash()) % edges;
    }

    private double plainRank(long nowMs, PooledServer server) {
        double across = server.record().zone().equals(zone) ? 0 : ROUNDS_ACROSS_ZONES * edges;
        return slotRank(nowMs, server)
                + across
                + server.waiting(nowMs) * ROUNDS_PER_WAITING * edges
                + server.failureShare(nowMs) * ROUNDS_PER_FAILURE * edges;
    }

    private double modelRank(
            long nowMs, CallProfile call, PooledServer server, boolean isHome, int mostKept) {
        double full = server.heldTokens() > MEMORY_SHARE * backend.kvTokens() ? FULL_MS : 0;
        int readAgain = Math.max(0, mostKept - server.cache().keptTokens(call.parts()));
        return server.readingMs(nowMs, freshTokens(call, server, isHome))
                + MS_PER_TOKEN_AGAIN * readAgain
                + MS_PER_RUNNING * (server.busy() + server.othersRunning(nowMs))
                + MS_PER_WAITING * server.waiting(nowMs)
                + slotRank(nowMs, server) / edges * MS_PER_ROUND
                + server.failureShare(nowMs) * MS_PER_FAILURE
                + full;
    }

    private int freshTokens(CallProfile call, PooledServer server, boolean isHome) {
        int kept = server.cache().keptTokens(call.parts());
        if (isHome && call.parts().size() > 1) {
            int own = call.parts().get(call.parts().size() - 1).tokens();
            kept = Math.max(kept, (int) (homeTrust * (call.promptTokens() - own)));
        }
        return Math.max(0, call.promptTokens() - kept);
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
        slot.server().read(slot, nowMs);
    }

    /** More of an answer has come. */
    public void heard(long nowMs, Slot slot) {
        slot.server().heard(nowMs);
    }

    /** A server has told its load. */
    public void loadReported(long nowMs, Slot slot, int running, int waiting) {
        slot.server().reported(nowMs, running, waiting);
    }

    /**
     * When something last came from the server of a slot, on any connection; 0 if nothing has yet.
     */
    public long lastAnswerMs(Slot slot) {
        return slot.server().lastAnswerMs();
    }

    /** Tokens that the server of a slot has yet to read for this process. */
    public long backlogTokens(Slot slot) {
        return slot.server().backlogTokens();
    }

    /** Keeps new calls away from the server of a slot for a while. */
    public void suspect(long nowMs, Slot slot) {
        slot.server().pause(nowMs);
    }

    /** The call has left its slot. */
    public void release(long nowMs, Slot slot, SlotEnd end) {
        if (slot.release()) {
            slot.server().free(slot, end, nowMs);
            inUse--;
        }
    }
}
