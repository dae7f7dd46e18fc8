package poppynotch.balancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Servers that operators took out of service, whatever lists say. A server may be named here before
 * a list names it.
 */
final class MaintenanceTable {

    /** By server: when its maintenance ended; infinite while it lasts. */
    private final Map<String, Double> endedAtMs = new HashMap<>();

    /** Starts or ends a server's maintenance; false if nothing changed by it. */
    boolean set(double nowMs, String server, boolean inMaintenance) {
        if (inMaintenance == isInMaintenance(server)) {
            return false;
        }
        endedAtMs.put(server, inMaintenance ? Double.POSITIVE_INFINITY : nowMs);
        return true;
    }

    private boolean isInMaintenance(String server) {
        return endOf(server) == Double.POSITIVE_INFINITY;
    }

    private double endOf(String server) {
        return endedAtMs.getOrDefault(server, 0.0);
    }

    /**
     * A server's entry as it counts here: a server in maintenance drains, and it counts as started
     * when its maintenance ended, as it is restarted there and lists report that late.
     */
    Server apply(Server announced) {
        if (!isInMaintenance(announced.id())) {
            double startedMs = Math.max(announced.startedMs(), endOf(announced.id()));
            return announced.withStateAndStart(announced.state(), startedMs);
        }
        ServerState state =
                announced.state() == ServerState.READY ? ServerState.DRAINING : announced.state();
        return announced.withStateAndStart(state, announced.startedMs());
    }
}
