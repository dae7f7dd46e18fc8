package poppynotch.benchlink;

import java.util.List;
import java.util.Map;
import poppynotch.balancer.Server;

/**
 * One event of the simulator's input, with whichever fields it had; {@link BatchReader} fills it
 * and translates the names of the simulator's wire.
 */
final class SimulatorEvent {
    String kind = "";
    String requestId = "";
    String server = "";

    /** How an attempt ended, by its name on the wire. */
    String outcome = "";

    double deadlineMs;
    double elapsedMs;
    int requestClass;
    int tenant;
    int attempt;

    /** What kind of list it is, as a number of the wire. */
    int listKind;

    /** Under which number the list is stored. */
    int listNumber;

    /** The name of a timer, or the seed of a new instance. */
    long number;

    boolean isRetry;
    boolean concluded;

    /** The load that the server reported, or -1 for none. */
    double outstanding = -1;

    List<Server> servers = List.of();

    /** The settings of a new instance. */
    Map<String, Object> settings = Map.of();
}
