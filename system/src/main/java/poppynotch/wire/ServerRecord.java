package poppynotch.wire;

/**
 * The registration of one model server.
 *
 * @param id id of this incarnation of the server
 * @param backend name of the service that the server belongs to
 * @param address {@code HOST:PORT} for requests
 * @param zone failure domain of the server
 * @param slots number of requests that the server executes concurrently
 * @param state state as last registered, or as derived by the control plane
 * @param sequence increases with each registration of this incarnation
 * @param version version of the server's software, as registered; empty if it is not known
 */
public record ServerRecord(
        String id,
        String backend,
        String address,
        String zone,
        int slots,
        ServerState state,
        long sequence,
        String version) {

    /** Creates the record of a server whose version is not known. */
    public ServerRecord(
            String id,
            String backend,
            String address,
            String zone,
            int slots,
            ServerState state,
            long sequence) {
        this(id, backend, address, zone, slots, state, sequence, "");
    }

    /** A copy with another state. */
    public ServerRecord withState(ServerState other) {
        return new ServerRecord(id, backend, address, zone, slots, other, sequence, version);
    }

    /** A copy with a later sequence number. */
    public ServerRecord withSequence(long later) {
        return new ServerRecord(id, backend, address, zone, slots, state, later, version);
    }

    /** A copy with another version. */
    public ServerRecord withVersion(String other) {
        return new ServerRecord(id, backend, address, zone, slots, state, sequence, other);
    }

    /**
     * This record if it has a version, else a copy with the version of {@code known}, a record of
     * the same server. Processes of earlier software versions relay records without the version.
     */
    public ServerRecord withVersionFrom(ServerRecord known) {
        return version.isEmpty() && !known.version.isEmpty() ? withVersion(known.version) : this;
    }

    /** Whether all components except for the sequence number are equal. */
    public boolean equalsIgnoringSequence(ServerRecord other) {
        return withSequence(0).equals(other.withSequence(0));
    }
}
