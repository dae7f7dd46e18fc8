package poppynotch.pool;

import java.util.BitSet;
import poppynotch.wire.PromptSegment;
import poppynotch.wire.ServerRecord;

/**
 * One server in one {@link ServerPool}: the slots that this edge uses, and the server's load,
 * latency, failures and prefix cache as observed by this edge. Confined to the edge's event loop.
 */
final class PooledServer {

    private ServerRecord server;
    private final long hash;
    private final BitSet slotsInUse = new BitSet();
    private final LatencyEstimator latency = new LatencyEstimator();
    private final ReportedLoad reportedLoad = new ReportedLoad();
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final PrefixCacheModel cache;
    private long lastResponseMs;

    PooledServer(ServerRecord server, long cacheTokens) {
        this.server = server;
        hash = StableHash.of(server.id());
        cache = new PrefixCacheModel(cacheTokens);
    }

    String id() {
        return server.id();
    }

    String address() {
        return server.address();
    }

    ServerRecord record() {
        return server;
    }

    void setRecord(ServerRecord newer) {
        server = newer;
    }

    /** A hash of the id that is the same at every edge. */
    long hash() {
        return hash;
    }

    PrefixCacheModel cache() {
        return cache;
    }

    LatencyEstimator latency() {
        return latency;
    }

    ReportedLoad reportedLoad() {
        return reportedLoad;
    }

    OutlierDetector outlierDetector() {
        return outlierDetector;
    }

    /** The number of this edge's requests that are in flight at the server. */
    int inFlight() {
        return slotsInUse.cardinality();
    }

    /** The lowest slot that is neither in use nor quarantined. */
    int lowestFreeSlot(long nowMs) {
        int number = slotsInUse.nextClearBit(0);
        while (outlierDetector.isQuarantined(nowMs, number)) {
            number = slotsInUse.nextClearBit(number + 1);
        }
        return number;
    }

    /** The prompt tokens of a request that the server must prefill, by the model of its cache. */
    int uncachedTokens(RequestProfile request) {
        return Math.max(
                0, request.promptTokens() - cache.cachedPrefixTokens(request.promptParts()));
    }

    /** The time of the last data from the server on any connection; 0 if there was none yet. */
    long lastResponseMs() {
        return lastResponseMs;
    }

    void onAcquired(long nowMs, Slot slot) {
        slotsInUse.set(slot.number());
        latency.onAcquired(nowMs, slot);
        cache.onPrefill(slot.promptParts());
    }

    /** Records that another edge sends a prompt to the server. */
    void onPromptSentElsewhere(long nowMs, int uncachedTokens, Iterable<PromptSegment> parts) {
        latency.onPromptSent(nowMs, uncachedTokens);
        cache.onPrefill(parts);
    }

    /** Records the first part of a response. */
    void onFirstResponse(long nowMs, Slot slot) {
        lastResponseMs = nowMs;
        latency.onFirstResponse(nowMs, slot);
    }

    /** Records a further part of a response. */
    void onResponseData(long nowMs) {
        lastResponseMs = nowMs;
    }

    void onReleased(long nowMs, Slot slot, SlotOutcome outcome) {
        slotsInUse.clear(slot.number());
        latency.onReleased(slot);
        if (outcome == SlotOutcome.SERVED || outcome == SlotOutcome.ERROR_RESPONSE) {
            lastResponseMs = nowMs;
        }
        outlierDetector.onReleased(nowMs, slot.number(), outcome);
    }
}
