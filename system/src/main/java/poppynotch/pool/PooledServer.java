package poppynotch.pool;

import java.util.BitSet;
import poppynotch.wire.ServerRecord;

/** One server as one pool sees it. */
final class PooledServer {

    /** A slot that failed comes back after this time, and after twice as long with each further failure. */
    private static final long FIRST_PAUSE_MS = 200;
    private static final int MOST_DOUBLINGS = 5;
    /** A server's word on its load counts for so long. */
    private static final long REPORT_MS = 1500;

    private ServerRecord server;
    private final long hash;
    private final BitSet busy = new BitSet();
    private final PromptCache cache;
    private int failures;
    private long pausedUntilMs = Long.MIN_VALUE;
    private long lastAnswerMs;
    private long backlogTokens;
    private long heldTokens;
    private int reportedRunning;
    private int reportedWaiting;
    /** Calls of this process among those reported. */
    private int ownWhenReported;
    private long reportedMs = Long.MIN_VALUE / 2;

    PooledServer(ServerRecord server, long cacheTokens) {
        this.server = server;
        hash = mix(server.id());
        cache = new PromptCache(cacheTokens);
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

    PromptCache cache() {
        return cache;
    }

    int busy() {
        return busy.cardinality();
    }

    int lowestFree() {
        return busy.nextClearBit(0);
    }

    boolean isPaused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** After a failure one call at a time shows whether the server is back. */
    boolean isOnTrial() {
        return failures > 0;
    }

    long backlogTokens() {
        return backlogTokens;
    }

    long heldTokens() {
        return heldTokens;
    }

    long lastAnswerMs() {
        return lastAnswerMs;
    }

    /** Calls that others are taken to have running there, by its latest word. */
    int othersRunning(long nowMs) {
        return nowMs - reportedMs > REPORT_MS ? 0 : Math.max(0, reportedRunning - ownWhenReported);
    }

    int waiting(long nowMs) {
        return nowMs - reportedMs > REPORT_MS ? 0 : reportedWaiting;
    }

    void take(Slot slot) {
        busy.set(slot.number());
        backlogTokens += slot.freshTokens();
        heldTokens += slot.call().promptTokens();
    }

    void read(Slot slot, long nowMs) {
        lastAnswerMs = nowMs;
        if (slot.endReading()) {
            backlogTokens -= slot.freshTokens();
        }
    }

    void heard(long nowMs) {
        lastAnswerMs = nowMs;
    }

    void reported(long nowMs, int running, int waiting) {
        reportedMs = nowMs;
        reportedRunning = running;
        reportedWaiting = waiting;
        ownWhenReported = busy();
    }

    void free(Slot slot, SlotEnd end, long nowMs) {
        busy.clear(slot.number());
        if (slot.endReading()) {
            backlogTokens -= slot.freshTokens();
        }
        heldTokens -= slot.call().promptTokens();
        switch (end) {
            case SERVED -> {
                failures = 0;
                lastAnswerMs = nowMs;
            }
            case UNREACHABLE, FAILED, SILENT -> pause(nowMs);
            case REFUSED, CANCELLED -> { }
            default -> throw new IllegalStateException("an end of a slot: " + end);
        }
    }

    void pause(long nowMs) {
        if (nowMs >= pausedUntilMs) {
            pausedUntilMs = nowMs + (FIRST_PAUSE_MS << Math.min(failures, MOST_DOUBLINGS));
            failures++;
        }
    }
}
