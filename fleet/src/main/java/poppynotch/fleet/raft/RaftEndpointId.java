package poppynotch.fleet.raft;

import io.microraft.RaftEndpoint;

/**
 * Identifies a replica in the Raft group: the member name of its server. A replica that joins after
 * an earlier one of the same name lost its log has a slash and a random suffix in addition, because
 * a replica that has lost its votes must not vote again under the same id.
 *
 * @param id the id as it is written to the log and to messages, such as {@code k1} or {@code
 *     k4/5ac1}
 */
public record RaftEndpointId(String id) implements RaftEndpoint {

    private static final char SUFFIX_SEPARATOR = '/';

    /** The id of a replica that joins under a new suffix. */
    static RaftEndpointId withSuffix(String name, String suffix) {
        return new RaftEndpointId(name + SUFFIX_SEPARATOR + suffix);
    }

    @Override
    public Object getId() {
        return id;
    }

    /** The server's member name in the fleet. */
    public String name() {
        int separatorIndex = id.indexOf(SUFFIX_SEPARATOR);
        return separatorIndex < 0 ? id : id.substring(0, separatorIndex);
    }
}
