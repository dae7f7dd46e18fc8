package poppynotch.lab.world;

/**
 * One request to one sidecar: a client's attempt, or a model server's call to the next tier.
 * Mutable; used on the day's thread.
 */
public final class Call {

    /** Its id, new for each call. */
    public final String id;

    /** The client's request that it serves. */
    public final ClientRequest clientRequest;

    /** The tier whose model servers serve it. */
    public final int tier;

    /** The zone of the caller. */
    public final int zone;

    /** When the caller sent it. */
    public final double sentAtMs;

    /** When the caller stops waiting. */
    public final double deadlineMs;

    /** The idempotency key by which a cell drops duplicates, or null. */
    public final String idempotencyKey;

    /** Whether it is a client's retry. */
    public final boolean isRetry;

    /** Seed of the random numbers drawn for its work. */
    public final long seed;

    /** The number of the sidecar that it was sent to. */
    public int sidecar = -1;

    /** The zone of that sidecar. */
    public int sidecarZone = -1;

    /** Whether the sidecar has accepted it and must answer. */
    public boolean accepted;

    /** Whether it was answered or its caller is gone. */
    public boolean completed;

    /** Its attempts that reached a model server so far. */
    public int attempts;

    /** Core milliseconds of work behind the newest answer of a model server. */
    public double servedWorkMs;

    /** The newest answer's body, or null if no server has answered. */
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
        this.clientRequest = clientRequest;
        this.tier = tier;
        this.zone = zone;
        this.sentAtMs = sentAtMs;
        this.deadlineMs = deadlineMs;
        this.idempotencyKey = idempotencyKey;
        this.isRetry = isRetry;
        this.seed = seed;
    }
}
