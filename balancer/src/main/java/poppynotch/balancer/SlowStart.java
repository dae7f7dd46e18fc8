package poppynotch.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds back calls to servers that have just started, until they are warm. The ramp is the fleet's:
 * of a server's ranks each of n balancers has every n-th, by its number and the server's ring
 * position. So all together have {@code warmth x M} calls at a server that is warming up at most, M
 * being what a warm one is meant to hold, whether they are 3 or 100. One call each would flood it.
 */
final class SlowStart {

    private final CurrentSettings settings;
    private final ServerTable servers;
    private final ServerRanking ranking;
    private final List<TrackedServer> warmingUp = new ArrayList<>();

    SlowStart(CurrentSettings settings, ServerTable servers, ServerRanking ranking) {
        this.settings = settings;
        this.servers = servers;
        this.ranking = ranking;
    }

    /**
     * The fraction of its full work that a server can surely do: it grows evenly from its start on.
     */
    double warmth(double nowMs, TrackedServer server) {
        double startedMs = server.entry.startedMs();
        double rampMs = settings.get().rules().warmUpMs();
        if (startedMs <= 0 || rampMs <= 0 || nowMs - startedMs >= rampMs) {
            return 1;
        }
        double initial = settings.get().rules().initialWarmth();
        return initial + (1 - initial) * Math.max(0, nowMs - startedMs) / rampMs;
    }

    boolean isWarm(double nowMs, TrackedServer server) {
        return warmth(nowMs, server) >= 1;
    }

    /** Whether a slot is within what its server can do now. */
    boolean admits(double nowMs, Slot slot) {
        double warmth = warmth(nowMs, slot.server);
        return warmth >= 1
                || slot.server.nextCallDue
                || ranking.baseRank(slot) < warmth * warmCapacity(slot.server);
    }

    /** Calls that all balancers together may have at a server that is warm. */
    private double warmCapacity(TrackedServer server) {
        return Math.max(
                InitialServerLoad.callsInFlight(settings.get()),
                settings.get().balancers()
                        * servers.relativeWeight(server)
                        / Math.max(1, servers.ready().size()));
    }

    /** Adds a server to those that are warming up, if it is not warm. */
    void track(double nowMs, TrackedServer server) {
        if (warmth(nowMs, server) < 1 && !warmingUp.contains(server)) {
            warmingUp.add(server);
        }
    }

    List<TrackedServer> warmingUp() {
        return warmingUp;
    }

    void removeWarm(double nowMs) {
        warmingUp.removeIf(server -> isWarm(nowMs, server));
    }

    void forget(TrackedServer server) {
        warmingUp.remove(server);
    }
}
