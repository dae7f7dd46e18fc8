package poppynotch.lab.world;

/**
 * What a client wants, however often it asks: drawn ahead from the seed, so that it is the same
 * whatever the policy.
 */
public final class ClientRequest {

    /** Its number, from 0. */
    public final long number;

    /** When the client first asked. */
    public final double arrivedAtMs;

    /** Its class, tenant and the client's zone, by their places in the world. */
    public final int kind;

    /** Its tenant. */
    public final int tenant;

    /** The zone that the client is in. */
    public final int zone;

    /** Mean work of such a request, in core milliseconds, if each tier were called once. */
    public final double workMs;

    /** What is drawn for it further on. */
    public final long seed;

    /** What an answer in time is worth: little beyond the tenant's share. */
    public final double worth;

    /** How often the client has asked. */
    public int attempts;

    /** What a client of a zone wants from now on. */
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
        this.kind = classIndex;
        this.tenant = tenantIndex;
        this.zone = zone;
        this.workMs = workMs;
        this.seed = seed;
        this.worth = value;
    }
}
