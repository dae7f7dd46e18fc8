package poppynotch.pool;

import java.util.List;
import poppynotch.wire.PromptPart;

/** The right to have one call at one server, under a rank that no other sidecar holds there. */
public final class Slot {

    private final PooledServer server;
    private final int number;
    private final RequestProfile call;

    /** Tokens of the prompt that the server is taken to read anew for this call. */
    private final int freshTokens;

    private final long takenMs;

    /**
     * Time after which the first answer was expected, and the server's speed that this rests on.
     */
    private final double expectedMs;

    private final double rateThen;
    private boolean reading = true;
    private boolean released;

    Slot(long nowMs, PooledServer server, RequestProfile call, int freshTokens) {
        this.server = server;
        number = server.lowestFree(nowMs);
        takenMs = nowMs;
        expectedMs = server.load().readingMs(nowMs, freshTokens);
        rateThen = server.load().tokensPerMs();
        this.call = call;
        this.freshTokens = freshTokens;
    }

    /** The id of the server that it is on. */
    public String serverId() {
        return server.id();
    }

    /** {@code HOST:PORT} of the server. */
    public String address() {
        return server.address();
    }

    public int number() {
        return number;
    }

    RequestProfile call() {
        return call;
    }

    PooledServer server() {
        return server;
    }

    /** The first answer has come: the prompt is read. True the first time. */
    boolean endReading() {
        boolean was = reading;
        reading = false;
        return was;
    }

    long takenMs() {
        return takenMs;
    }

    /** Time in ms after which the first answer was expected when it was taken. */
    public double expectedMs() {
        return expectedMs;
    }

    double rateThen() {
        return rateThen;
    }

    boolean release() {
        boolean first = !released;
        released = true;
        return first;
    }

    /** Parts of the prompt of its call. */
    public List<PromptPart> parts() {
        return call.parts();
    }

    /** Tokens that the server is taken to read anew. */
    public int freshTokens() {
        return freshTokens;
    }
}
