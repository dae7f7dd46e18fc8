package poppynotch.pool;

import java.util.BitSet;
import poppynotch.wire.PromptPart;
import poppynotch.wire.ServerRecord;

/** One server as one pool sees it: its slots, its load, its failures and what it keeps. */
final class PooledServer {

    private ServerRecord server;
    private final long hash;
    private final BitSet busy = new BitSet();
    private final LatencyEstimator load = new LatencyEstimator();
    private final OutlierDetector ejection = new OutlierDetector();
    private final PrefixCacheModel cache;
    private long lastAnswerMs;

    PooledServer(ServerRecord server, long cacheTokens) {
        this.server = server;
        hash = mix(server.id());
        cache = new PrefixCacheModel(cacheTokens);
    }

    /** A 32-bit FNV-1a hash, finished with a mix, the same in every process. */
    static long mix(String text) {
        int h = 0x811c9dc5;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x01000193;
        }
        h ^= h >>> 16;
        h *= 0x7feb352d;
        h ^= h >>> 15;
        return h & 0xffffffffL;
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

    void update(ServerRecord newer) {
        server = newer;
    }

    long hash() {
        return hash;
    }

    PrefixCacheModel cache() {
        return cache;
    }

    LatencyEstimator load() {
        return load;
    }

    OutlierDetector ejection() {
        return ejection;
    }

    int busy() {
        return busy.cardinality();
    }

    /** The lowest slot that is neither in use nor discarded. */
    int lowestFree(long nowMs) {
        int number = busy.nextClearBit(0);
        while (ejection.isDiscarded(nowMs, number)) {
            number = busy.nextClearBit(number + 1);
        }
        return number;
    }

    /** When something last came from it, on any connection; 0 if nothing has yet. */
    long lastAnswerMs() {
        return lastAnswerMs;
    }

    void take(long nowMs, Slot slot) {
        busy.set(slot.number());
        load.begins(nowMs, slot);
        cache.read(slot.parts());
    }

    /** Another sidecar sends a prompt there. */
    void prompt(long nowMs, int freshTokens, Iterable<PromptPart> parts) {
        load.prompt(nowMs, freshTokens);
        cache.read(parts);
    }

    /** The first answer of a call has come. */
    void firstAnswer(long nowMs, Slot slot) {
        lastAnswerMs = nowMs;
        load.firstAnswer(nowMs, slot);
    }

    /** More of an answer has come. */
    void heard(long nowMs) {
        lastAnswerMs = nowMs;
    }

    void free(long nowMs, Slot slot, SlotOutcome end) {
        busy.clear(slot.number());
        load.ends(slot);
        if (end == SlotOutcome.SERVED || end == SlotOutcome.ERROR) {
            lastAnswerMs = nowMs;
        }
        ejection.ended(nowMs, slot.number(), end);
    }
}
