package poppynotch.pool;

/** The right to have one call at one server, under a rank that no other sidecar holds there. */
public final class Slot {

    private final PooledServer server;
    private final int number;
    private final CallProfile call;
    /** Tokens of the prompt that the server is taken to read anew for this call. */
    private final int freshTokens;
    private boolean reading = true;
    private boolean released;

    Slot(PooledServer server, int number, CallProfile call, int freshTokens) {
        this.server = server;
        this.number = number;
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

    CallProfile call() {
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

    boolean release() {
        boolean first = !released;
        released = true;
        return first;
    }

    int freshTokens() {
        return freshTokens;
    }
}
