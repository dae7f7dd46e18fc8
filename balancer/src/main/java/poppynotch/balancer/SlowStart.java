package poppynotch.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits calls to servers that have started recently. The limit holds for all balancers together:
 * each of n balancers has every n-th rank of a server, by its index and the server's ring position.
 * A warming server thus has at most {@code warmth x M} calls, where M is what a warm one should
 * hold, whether there are 3 balancers or 100. One call from each of 100 would overload it.
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
     * The fraction of its full load that a server can safely handle; grows linearly from its start.
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

    /** Whether a slot is within the load that its server can handle now. */
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
