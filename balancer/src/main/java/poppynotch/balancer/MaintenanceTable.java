package poppynotch.balancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Servers that operators have put into maintenance, which overrides server lists. A server may be
 * added before it is listed.
 */
final class MaintenanceTable {

    /** The end of each server's maintenance; infinite while it lasts. */
    private final Map<String, Double> endedAtMs = new HashMap<>();

    /** Starts or ends a server's maintenance; returns false if there is no change. */
    boolean set(double nowMs, String server, boolean inMaintenance) {
        if (inMaintenance == isInMaintenance(server)) {
            return false;
        }
        endedAtMs.put(server, inMaintenance ? Double.POSITIVE_INFINITY : nowMs);
        return true;
    }

    private boolean isInMaintenance(String server) {
        return endMsOf(server) == Double.POSITIVE_INFINITY;
    }

    private double endMsOf(String server) {
        return endedAtMs.getOrDefault(server, 0.0);
    }

    /**
     * Applies maintenance to an entry: the server drains during it, and its start time is set to
     * the end of it if lists name an earlier one, as they report the restart late.
     */
    Server apply(Server announced) {
        if (!isInMaintenance(announced.id())) {
            double startedMs = Math.max(announced.startedMs(), endMsOf(announced.id()));
            return announced.withStateAndStart(announced.state(), startedMs);
        }
        ServerState state =
                announced.state() == ServerState.READY ? ServerState.DRAINING : announced.state();
        return announced.withStateAndStart(state, announced.startedMs());
    }
}
