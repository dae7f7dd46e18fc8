package poppynotch.benchlink;

import java.util.List;
import java.util.Map;
import poppynotch.balancer.Server;

/**
 * One event of the simulator's input. {@link BatchReader} sets the fields that are present, and
 * translates their names from those of the simulator's protocol.
 */
final class SimulatorEvent {
    String kind = "";
    String requestId = "";
    String server = "";

    /** The outcome of an attempt, by its name on the wire. */
    String outcome = "";

    double deadlineMs;
    double elapsedMs;
    int requestClass;
    int tenant;
    int attempt;

    /** The kind of the server list, by its number on the wire. */
    int listKind;

    /** The number under which the server list is stored. */
    int listNumber;

    /** The name of a timer, or the random seed of a new instance. */
    long number;

    boolean isRetry;
    boolean concluded;

    /** The number of outstanding requests that the server reported, or -1 for none. */
    double outstanding = -1;

    List<Server> servers = List.of();

    /** The settings of a new instance. */
    Map<String, Object> settings = Map.of();
}
