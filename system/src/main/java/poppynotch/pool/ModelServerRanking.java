package poppynotch.pool;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import poppynotch.config.Backend;

/**
 * Ranks servers that run a model by the expected time until the first response, in ms. The cost
 * that a choice causes to other requests is added as time. The costs of prompts differ by a factor
 * of a thousand, so the rank of the free slot decides only between servers that are otherwise
 * equal.
 *
 * <p>Created for one request; confined to the edge's event loop.
 */
final class ModelServerRanking implements ToDoubleFunction<PooledServer> {

    /** The time that each running or waiting request adds to that of a new request. */
    private static final double MS_PER_RUNNING_REQUEST = 2;

    private static final double MS_PER_WAITING_REQUEST = 60;

    /** The cost to other requests of prefilling a token that another server has cached. */
    private static final double MS_PER_TOKEN_CACHED_ELSEWHERE = 0.02;

    /**
     * The cost of a new connection: a connection slot and a handshake at the server, and two
     * network delays. Equal to the cost of prefilling 1,000 tokens that another server has cached.
     */
    private static final double NEW_CONNECTION_MS = 20;

    /** The cost of traffic between zones. */
    private static final double CROSS_ZONE_MS = 4;

    /** The penalty of a server that fails all its requests. */
    private static final double FAILURE_RATE_MS = 1500;

    /** The cost of one round of slot ranks, so low that it decides only between similar costs. */
    private static final double MS_PER_SLOT_ROUND = 1;

    /** The penalty that ranks a server whose memory this edge's requests fill after all others. */
    private static final double MEMORY_FULL_MS = 60_000;

    /** The fraction of a server's memory above which this edge's prompts count as filling it. */
    private static final double MAX_MEMORY_FRACTION = 0.9;

    /**
     * The fraction of the shared tokens that the home server of a prompt is assumed to cache, even
     * if this edge did not see such a prompt: high if the edge sees no prompts of other edges, low
     * if it sees all of them.
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
     * @param available the servers that may take the request
     * @param hasIdleConnection whether an idle connection to the server with the given id is open
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
     * The server to which every edge sends requests with the same affinity key by preference,
     * chosen by rendezvous hashing.
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

    /** Returns the rank of a server; the lowest rank is the best. */
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
     * The number of prompt tokens that the server is likely to prefill. The home server is assumed
     * to cache part of the prompt's shared tokens even if this edge did not see such a prompt.
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
