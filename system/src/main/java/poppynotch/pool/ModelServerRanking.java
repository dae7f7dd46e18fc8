package poppynotch.pool;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import poppynotch.config.Backend;

/**
 * Ranks servers that run a model by the expected time to the first answer, in ms: prompts differ by
 * a thousand times in what they cost, so the design's rank decides only between equals. What a
 * choice costs others counts as time too.
 */
final class ModelServerRanking implements ToDoubleFunction<PooledServer> {

    /** What a call that runs, or waits, adds to the time that a new one takes. */
    private static final double MS_PER_RUNNING = 2;

    private static final double MS_PER_WAITING = 60;

    /** What it costs all others that a token is read anew which another server keeps. */
    private static final double MS_PER_TOKEN_AGAIN = 0.02;

    /**
     * What a new connection costs: a place and a handshake at the server, and two ways of the
     * network. As much as reading 1,000 tokens again.
     */
    private static final double MS_PER_CONNECTION = 20;

    /** What bytes across zones cost. */
    private static final double MS_ACROSS_ZONES = 4;

    private static final double MS_PER_FAILURE = 1500;

    /** Where a rank decides between equal costs, a round. */
    private static final double MS_PER_ROUND = 1;

    /** A server whose memory own calls fill comes after all others. */
    private static final double FULL_MS = 60_000;

    /**
     * A server that keeps more than this part of its memory busy with own calls is left for later.
     */
    private static final double MEMORY_SHARE = 0.9;

    /**
     * The part of the shared tokens that the home of a prompt is taken to keep though it was not
     * seen: much where a sidecar hears of no prompt of others, little where it hears of all.
     */
    private static final double HOME_TRUST_HEARD = 0.2;

    private static final double HOME_TRUST_UNHEARD = 0.8;

    private final long nowMs;
    private final EdgePosition placement;
    private final Backend backend;
    private final RequestProfile call;
    private final Predicate<String> connected;
    private final PooledServer home;
    private final int mostKept;

    /**
     * Ranks for a call now; the lowest is the best.
     *
     * @param all servers of the service
     * @param free those of them that may take the call
     */
    ModelServerRanking(
            long nowMs,
            EdgePosition placement,
            Backend backend,
            RequestProfile call,
            Collection<PooledServer> all,
            Collection<PooledServer> free,
            Predicate<String> connected) {
        this.nowMs = nowMs;
        this.placement = placement;
        this.backend = backend;
        this.call = call;
        this.connected = connected;
        home = home(call, all);
        mostKept =
                free.stream()
                        .mapToInt(server -> server.cache().keptTokens(call.parts()))
                        .max()
                        .orElse(0);
    }

    /**
     * The server on which all sidecars look first for what such calls share: the same one for each.
     */
    private static PooledServer home(RequestProfile call, Collection<PooledServer> all) {
        if (call.parts().isEmpty()) {
            return null;
        }
        PooledServer best = null;
        long bestScore = Long.MIN_VALUE;
        for (PooledServer server : all) {
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

    @Override
    public double applyAsDouble(PooledServer server) {
        LatencyEstimator load = server.load();
        int readAgain = Math.max(0, mostKept - server.cache().keptTokens(call.parts()));
        return load.readingMs(nowMs, likelyFresh(server))
                + MS_PER_TOKEN_AGAIN * readAgain
                + MS_PER_RUNNING * (server.busy() + load.othersRunning(nowMs))
                + MS_PER_WAITING * load.waiting(nowMs)
                + placement.slotRank(nowMs, server) / placement.sidecars() * MS_PER_ROUND
                + server.ejection().failureShare(nowMs) * MS_PER_FAILURE
                + (placement.isLocal(server) ? 0 : MS_ACROSS_ZONES)
                + (connected.test(server.id()) ? 0 : MS_PER_CONNECTION)
                + (load.heldTokens() > MEMORY_SHARE * backend.kvTokens() ? FULL_MS : 0);
    }

    /** Tokens that the server is likely to read anew, also by what was not seen. */
    private int likelyFresh(PooledServer server) {
        int fresh = freshTokens(call, server);
        if (server != home || call.parts().size() < 2) {
            return fresh;
        }
        int own = call.parts().get(call.parts().size() - 1).tokens();
        int trusted = (int) (homeTrust() * (call.promptTokens() - own));
        return Math.max(0, Math.min(fresh, call.promptTokens() - trusted));
    }

    private double homeTrust() {
        return HOME_TRUST_UNHEARD + (HOME_TRUST_HEARD - HOME_TRUST_UNHEARD) * placement.heardPart();
    }

    /** Tokens that a server reads anew by what was seen. */
    static int freshTokens(RequestProfile call, PooledServer server) {
        return Math.max(0, call.promptTokens() - server.cache().keptTokens(call.parts()));
    }
}
