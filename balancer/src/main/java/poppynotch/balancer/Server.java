package poppynotch.balancer;

/**
 * An entry of discovery's list of servers.
 *
 * @param kind the kind of machine
 * @param cell the group of servers that share a memory of keyed requests
 * @param startedMs when its process started; 0 is the distant past
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
        Checks.given("server.id", id);
        Checks.given("server.state", state);
        Checks.finite("server.started", startedMs);
        Checks.finite("server.weight", weight);
        Checks.notNegative("server.weight", weight);
    }

    /** The same server in another state, or started at another time. */
    public Server withStateAndStart(ServerState newState, double newStart) {
        return new Server(id, zone, kind, cell, newStart, newState, weight);
    }
}
