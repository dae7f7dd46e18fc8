package poppynotch.pool;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import poppynotch.config.Backend;

/**
 * Ranks servers that run a model by the expected time until the first response, in ms. What the
 * choice of a server costs other requests counts as time too. Prompts differ by a factor of a
 * thousand in what they cost, so the rank of the free slot decides only between servers that are
 * otherwise equal.
 *
 * <p>Created for one request and used on the edge's event loop.
 */
final class ModelServerRanking implements ToDoubleFunction<PooledServer> {

    /** What each running, or queued, request adds to the time that a new one takes. */
    private static final double MS_PER_RUNNING_REQUEST = 2;

    private static final double MS_PER_WAITING_REQUEST = 60;

    /** What it costs all other requests to prefill a token that another server has cached. */
    private static final double MS_PER_TOKEN_CACHED_ELSEWHERE = 0.02;

    /**
     * What a new connection costs: a connection slot and a handshake at the server, and two network
     * delays. As much as to prefill 1,000 tokens that another server has cached.
     */
    private static final double NEW_CONNECTION_MS = 20;

    /** What it costs to send bytes across zones. */
    private static final double CROSS_ZONE_MS = 4;

    /** The penalty of a server that fails all its requests. */
    private static final double FAILURE_RATE_MS = 1500;

    /** What one round of slot ranks counts: so little that it decides only between equal costs. */
    private static final double MS_PER_SLOT_ROUND = 1;

    /** A server whose memory is full of this edge's requests comes after all others. */
    private static final double MEMORY_FULL_MS = 60_000;

    /** The fraction of a server's memory that this edge's requests may fill before that. */
    private static final double MAX_MEMORY_FRACTION = 0.9;

    /**
     * The fraction of the shared tokens that the home server of a prompt is assumed to cache though
     * this edge did not see it: much where the edge sees no prompts of others, little where it sees
     * all of them.
     */
    private static final double HOME_CACHE_FRACTION_ALL_PROMPTS_VISIBLE = 0.2;

    private static final double HOME_CACHE_FRACTION_NO_PROMPTS_VISIBLE = 0.8;

    private final long nowMs;
    private final EdgePosition position;
    private final Backend backend;
    private final RequestProfile request;
    private final Predicate<String> hasIdleConnection;

    /** The home server of the request's prompt; null if there is none. */
    private final PooledServer homeServer;

    /** The longest prefix of the prompt, in tokens, that any available server has cached. */
    private final int maxCachedTokens;

    /**
     * Creates a ranking for a request that is sent now.
     *
     * @param all all servers of the service
     * @param available those of them that may take the request
     * @param hasIdleConnection whether an idle connection to the server with an id is open
     */
    ModelServerRanking(
            long nowMs,
            EdgePosition position,
            Backend backend,
            RequestProfile request,
            Collection<PooledServer> all,
            Collection<PooledServer> available,
            Predicate<String> hasIdleConnection) {
        this.nowMs = nowMs;
        this.position = position;
        this.backend = backend;
        this.request = request;
        this.hasIdleConnection = hasIdleConnection;
        homeServer = homeServer(request, all);
        maxCachedTokens = available.stream().mapToInt(this::cachedTokens).max().orElse(0);
    }

    /**
     * The server on which every edge first looks for what such requests have in common, by
     * rendezvous hashing.
     */
    private static PooledServer homeServer(RequestProfile request, Collection<PooledServer> all) {
        if (request.promptParts().isEmpty()) {
            return null;
        }
        PooledServer best = null;
        long bestScore = Long.MIN_VALUE;
        for (PooledServer server : all) {
            long score = StableHash.rendezvousScore(request.affinityKey(), server.hash());
            if (best == null || score > bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return best;
    }

    /** The rank of a server; the lowest is the best. */
    @Override
    public double applyAsDouble(PooledServer server) {
        LatencyEstimator latency = server.latency();
        ReportedLoad load = server.reportedLoad();
        int tokensCachedElsewhere = Math.max(0, maxCachedTokens - cachedTokens(server));
        return latency.timeToFirstResponseMs(nowMs, likelyUncachedTokens(server))
                + MS_PER_TOKEN_CACHED_ELSEWHERE * tokensCachedElsewhere
                + MS_PER_RUNNING_REQUEST * (server.inFlight() + load.othersRunning(nowMs))
                + MS_PER_WAITING_REQUEST * load.waiting(nowMs)
                + position.slotRank(nowMs, server) / position.edgeCount() * MS_PER_SLOT_ROUND
                + server.outlierDetector().failureRate(nowMs) * FAILURE_RATE_MS
                + (position.isInSameZone(server) ? 0 : CROSS_ZONE_MS)
                + (hasIdleConnection.test(server.id()) ? 0 : NEW_CONNECTION_MS)
                + (isMemoryFull(latency) ? MEMORY_FULL_MS : 0);
    }

    private boolean isMemoryFull(LatencyEstimator latency) {
        return latency.promptTokensInFlight() > MAX_MEMORY_FRACTION * backend.kvTokens();
    }

    private int cachedTokens(PooledServer server) {
        return server.cache().cachedPrefixTokens(request.promptParts());
    }

    /**
     * Prompt tokens that the server is likely to prefill. The home server is assumed to cache part
     * of what the prompt shares with others also where this edge did not see such a prompt.
     */
    private int likelyUncachedTokens(PooledServer server) {
        int uncached = server.uncachedTokens(request);
        if (server != homeServer || request.promptParts().size() < 2) {
            return uncached;
        }
        int ownTokens = request.promptParts().get(request.promptParts().size() - 1).tokens();
        int assumedCached = (int) (homeCacheFraction() * (request.promptTokens() - ownTokens));
        return Math.max(0, Math.min(uncached, request.promptTokens() - assumedCached));
    }

    private double homeCacheFraction() {
        return HOME_CACHE_FRACTION_NO_PROMPTS_VISIBLE
                + (HOME_CACHE_FRACTION_ALL_PROMPTS_VISIBLE - HOME_CACHE_FRACTION_NO_PROMPTS_VISIBLE)
                        * position.visiblePromptFraction();
    }
}
