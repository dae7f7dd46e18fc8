package poppynotch.lab.world;

/**
 * A client's request, over all its attempts. It is drawn from the day's seed, so that it is the
 * same under every policy. Used on the day's thread.
 */
public final class ClientRequest {

    /** Its number, from 0. */
    public final long number;

    /** When the first attempt was made, in milliseconds. */
    public final double arrivedAtMs;

    /** The index of its class in the world. */
    public final int classIndex;

    /** The index of its tenant. */
    public final int tenantIndex;

    /** The index of the client's zone. */
    public final int zone;

    /** Mean work of such a request, in core milliseconds, if each tier were called once. */
    public final double workMs;

    /** Seed of further random numbers drawn for it. */
    public final long seed;

    /** Value of an answer in time; little beyond the tenant's allowance. */
    public final double value;

    /** Attempts that the client has made. */
    public int attempts;

    /** A request without attempts. */
    public ClientRequest(
            long number,
            double arrivedAtMs,
            int classIndex,
            int tenantIndex,
            int zone,
            double workMs,
            long seed,
            double value) {
        this.number = number;
        this.arrivedAtMs = arrivedAtMs;
        this.classIndex = classIndex;
        this.tenantIndex = tenantIndex;
        this.zone = zone;
        this.workMs = workMs;
        this.seed = seed;
        this.value = value;
    }
}
