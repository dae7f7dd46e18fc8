package poppynotch.balancer;

/**
 * An entry of the server list from discovery.
 *
 * @param kind the kind of machine
 * @param cell the group of servers that deduplicate keyed requests together
 * @param startedMs when its process started; 0 if it started long ago
 * @param weight its capacity, in any unit; 0 if unknown
 */
public record Server(
        String id,
        int zone,
        int kind,
        int cell,
        double startedMs,
        ServerState state,
        double weight) {
    public Server {
        Checks.notNull("server.id", id);
        Checks.notNull("server.state", state);
        Checks.finite("server.started", startedMs);
        Checks.finite("server.weight", weight);
        Checks.notNegative("server.weight", weight);
    }

    /** Returns a copy with another state and start time. */
    public Server withStateAndStart(ServerState newState, double newStartedMs) {
        return new Server(id, zone, kind, cell, newStartedMs, newState, weight);
    }
}
