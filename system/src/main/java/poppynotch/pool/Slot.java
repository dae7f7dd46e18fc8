package poppynotch.pool;

import java.util.List;
import poppynotch.wire.PromptSegment;

/**
 * A permit for one request in flight at one server. Granted by a {@link ServerPool}; the caller
 * that acquired it must return it by {@link ServerPool#release}. Confined to the edge's event loop.
 */
public final class Slot {

    private final PooledServer server;
    private final int number;
    private final RequestProfile request;

    /** The prompt tokens that the server is assumed to prefill, as they are not in its cache. */
    private final int uncachedTokens;

    private final long acquiredMs;
    private final String versionAtAcquire;

    private final double expectedFirstResponseMs;

    /** The server's prefill rate from which {@link #expectedFirstResponseMs} was computed. */
    private final double tokensPerMsAtAcquire;

    private boolean prefilling = true;
    private boolean released;

    Slot(long nowMs, PooledServer server, RequestProfile request, int uncachedTokens) {
        this.server = server;
        number = server.lowestFreeSlot(nowMs);
        acquiredMs = nowMs;
        versionAtAcquire = server.record().version();
        expectedFirstResponseMs = server.latency().timeToFirstResponseMs(nowMs, uncachedTokens);
        tokensPerMsAtAcquire = server.latency().tokensPerMs();
        this.request = request;
        this.uncachedTokens = uncachedTokens;
    }

    /** The id of the server. */
    public String serverId() {
        return server.id();
    }

    /** The server's version at acquisition; empty if the server stated none. */
    public String versionAtAcquire() {
        return versionAtAcquire;
    }

    /** {@code HOST:PORT} of the server. */
    public String address() {
        return server.address();
    }

    /** The index of the slot among this edge's slots at the server, from 0. */
    public int number() {
        return number;
    }

    RequestProfile request() {
        return request;
    }

    PooledServer server() {
        return server;
    }

    /** Marks the prompt as prefilled. Returns true the first time only. */
    boolean completePrefill() {
        boolean isFirst = prefilling;
        prefilling = false;
        return isFirst;
    }

    long acquiredMs() {
        return acquiredMs;
    }

    /** The expected time from acquisition to the first response, as estimated at acquisition. */
    public double expectedFirstResponseMs() {
        return expectedFirstResponseMs;
    }

    double tokensPerMsAtAcquire() {
        return tokensPerMsAtAcquire;
    }

    /** Marks the slot as released. Returns true the first time only. */
    boolean markReleased() {
        boolean isFirst = !released;
        released = true;
        return isFirst;
    }

    /** The parts of the request's prompt. */
    public List<PromptSegment> promptParts() {
        return request.promptParts();
    }

    /** The prompt tokens that the server is assumed to prefill, as they are not in its cache. */
    public int uncachedTokens() {
        return uncachedTokens;
    }
}
