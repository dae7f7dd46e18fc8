package poppynotch.wire;

/**
 * What is known of one server.
 *
 * @param id of this life of the server
 * @param backend the service it belongs to
 * @param address {@code HOST:PORT} for requests
 * @param slots requests it works on at once
 * @param sequence grows with each of its registrations
 */
public record ServerRecord(
        String id,
        String backend,
        String address,
        String zone,
        int slots,
        ServerState state,
        long sequence) {

    /** The same server in another state. */
    public ServerRecord as(ServerState other) {
        return new ServerRecord(id, backend, address, zone, slots, other, sequence);
    }

    /** The same registration, sent again later. */
    public ServerRecord withSequence(long later) {
        return new ServerRecord(id, backend, address, zone, slots, state, later);
    }

    /** Whether all but the sequence is the same. */
    public boolean sameAs(ServerRecord other) {
        return withSequence(0).equals(other.withSequence(0));
    }
}
