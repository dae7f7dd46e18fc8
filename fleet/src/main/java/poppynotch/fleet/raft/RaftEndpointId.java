package poppynotch.fleet.raft;

import io.microraft.RaftEndpoint;

/**
 * A keeper in the group: its name in the fleet, and after a slash what tells it from a keeper of
 * that name whose log was lost. Who has forgotten its votes must not vote again as the same one.
 */
public record RaftEndpointId(String id) implements RaftEndpoint {

    @Override
    public Object getId() {
        return id;
    }

    /** Its name in the fleet. */
    public String name() {
        int slash = id.indexOf('/');
        return slash < 0 ? id : id.substring(0, slash);
    }
}
