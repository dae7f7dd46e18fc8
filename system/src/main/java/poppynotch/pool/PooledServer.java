package poppynotch.pool;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import poppynotch.wire.PromptPart;
import poppynotch.wire.ServerRecord;

/** One server as one pool sees it. */
final class PooledServer {

    /**
     * A slot that failed comes back after this time, and after twice as long with each further
     * failure.
     */
    private static final long FIRST_PAUSE_MS = 200;

    private static final int MOST_DOUBLINGS = 5;

    /** Weight of a call in the part that fails, and how fast that part fades. */
    private static final double FAILURE_GAIN = 0.15;

    private static final double FAILURE_FADE_MS = 4000;

    /** A server's word on its load counts for so long. */
    private static final long REPORT_MS = 1500;

    /**
     * How fast a server is taken to read prompts before it has shown it, in tokens a ms, and the
     * bounds.
     */
    private static final double FIRST_RATE = 50;

    private static final double LEAST_RATE = 5;
    private static final double MOST_RATE = 1000;
    private static final double RATE_GAIN = 0.1;

    /** Only prompts with so much to read tell of a server's speed. */
    private static final int TELLING_TOKENS = 2000;

    private ServerRecord server;
    private final long hash;
    private final BitSet busy = new BitSet();
    private final Map<Integer, Long> discardedUntilMs = new HashMap<>();
    private double failureShare;
    private long failureMs;
    private final PromptCache cache;
    private int failures;
    private long pausedUntilMs = Long.MIN_VALUE;
    private long lastAnswerMs;

    /** Tokens of own calls whose answers have not begun. */
    private long backlogTokens;

    private long heldTokens;

    /** When the server will have read all that sidecars are known to have sent it. */
    private double readUntilMs;

    private double tokensPerMs = FIRST_RATE;
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

    /** The lowest slot that is neither in use nor discarded. */
    int lowestFree(long nowMs) {
        discardedUntilMs.values().removeIf(until -> nowMs >= until);
        int number = busy.nextClearBit(0);
        while (discardedUntilMs.containsKey(number)) {
            number = busy.nextClearBit(number + 1);
        }
        return number;
    }

    /** The part of late calls that failed, which fades while the server gets none. */
    double failureShare(long nowMs) {
        return failureShare * Math.exp(-Math.max(0, nowMs - failureMs) / FAILURE_FADE_MS);
    }

    private void countEnd(boolean failed, long nowMs) {
        double faded = failureShare(nowMs);
        failureShare = faded + FAILURE_GAIN * ((failed ? 1 : 0) - faded);
        failureMs = nowMs;
    }

    boolean isPaused(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /** After a failure one call at a time shows whether the server is back. */
    boolean isOnTrial() {
        return failures > 1;
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

    /** Time in ms until the server has read what it has, and these tokens besides. */
    double readingMs(long nowMs, int tokens) {
        return Math.max(0, readUntilMs - nowMs) + tokens / tokensPerMs;
    }

    /** Calls that others are taken to have running there, by its latest word. */
    int othersRunning(long nowMs) {
        return nowMs - reportedMs > REPORT_MS ? 0 : Math.max(0, reportedRunning - ownWhenReported);
    }

    int waiting(long nowMs) {
        return nowMs - reportedMs > REPORT_MS ? 0 : reportedWaiting;
    }

    void take(long nowMs, Slot slot) {
        busy.set(slot.number());
        backlogTokens += slot.freshTokens();
        heldTokens += slot.call().promptTokens();
        prompt(nowMs, slot.freshTokens(), slot.parts());
    }

    /** A prompt goes there, from this sidecar or another. */
    void prompt(long nowMs, int freshTokens, Iterable<PromptPart> parts) {
        readUntilMs = Math.max(readUntilMs, nowMs) + freshTokens / tokensPerMs;
        cache.read(parts);
    }

    void read(Slot slot, long nowMs) {
        lastAnswerMs = nowMs;
        if (slot.endReading()) {
            backlogTokens -= slot.freshTokens();
            learnRate(slot, nowMs);
        }
    }

    /** What was to be read before a call, and for it, was read by its first answer. */
    private void learnRate(Slot slot, long nowMs) {
        double tokens = slot.expectedMs() * slot.rateThen();
        double tookMs = nowMs - slot.takenMs();
        if (slot.freshTokens() >= TELLING_TOKENS && tookMs > 0) {
            double rate = Math.max(LEAST_RATE, Math.min(MOST_RATE, tokens / tookMs));
            tokensPerMs += RATE_GAIN * (rate - tokensPerMs);
        }
    }

    double tokensPerMs() {
        return tokensPerMs;
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
                countEnd(false, nowMs);
            }
            case ERROR -> {
                failures = 0;
                lastAnswerMs = nowMs;
                countEnd(true, nowMs);
            }
            case FAILED -> {
                countEnd(true, nowMs);
                discardedUntilMs.put(slot.number(), nowMs + FIRST_PAUSE_MS);
                if (failures++ > 0) {
                    pause(nowMs);
                }
            }
            case UNREACHABLE, SILENT -> {
                countEnd(true, nowMs);
                pause(nowMs);
            }
            case REFUSED, CANCELLED -> {}
            default -> throw new IllegalStateException("an end of a slot: " + end);
        }
    }

    void pause(long nowMs) {
        if (nowMs >= pausedUntilMs) {
            pausedUntilMs =
                    nowMs + (FIRST_PAUSE_MS << Math.min(Math.max(0, failures - 1), MOST_DOUBLINGS));
            failures = Math.max(failures, 1) + 1;
        }
    }
}
