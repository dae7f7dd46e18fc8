package poppynotch.lab.world;

/** One request to one sidecar: a client's try, or a model server's call to the next tier. */
public final class Call {

    /** Its id, new for each call. */
    public final String id;

    /** What it is for in the end. */
    public final ClientRequest first;

    /** The tier whose model servers serve it. */
    public final int tier;

    /** The zone of the caller. */
    public final int zone;

    /** When the caller sent it, and when it stops waiting. */
    public final double sentAtMs;

    /** When the caller stops waiting. */
    public final double deadline;

    /** The key by which a cell drops repeats, or null. */
    public final String key;

    /** A client's further try. */
    public final boolean resent;

    /** What is drawn for its work. */
    public final long seed;

    /** The sidecar that it was given to, and that one's zone. */
    public int sidecar = -1;

    /** The zone of the sidecar that it was given to. */
    public int sidecarZone = -1;

    /** The sidecar has it, and owes it an answer. */
    public boolean taken;

    /** It has had its answer, or its caller is gone. */
    public boolean over;

    /** Its attempts that reached a model server so far. */
    public int attempts;

    /** Work behind the answer that a model server gave it last, in core milliseconds. */
    public double servedWorkMs;

    /** What the model server that served it last wrote, or null while none has. */
    public String body;

    /** A call that nobody has sent yet. */
    public Call(
            String id,
            ClientRequest clientRequest,
            int tier,
            int zone,
            double sentAtMs,
            double deadlineMs,
            String idempotencyKey,
            boolean isRetry,
            long seed) {
        this.id = id;
        this.first = clientRequest;
        this.tier = tier;
        this.zone = zone;
        this.sentAtMs = sentAtMs;
        this.deadline = deadlineMs;
        this.key = idempotencyKey;
        this.resent = isRetry;
        this.seed = seed;
    }
}
