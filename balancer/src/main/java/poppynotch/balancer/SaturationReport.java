package poppynotch.balancer;

import java.util.List;

/** Counts signs of saturation and logs them for operators, at most one line per interval. */
final class SaturationReport {

    /** The minimum time between two lines. */
    private static final double INTERVAL_MS = 10_000;

    private final BalancerActions host;
    private double nextReportMs;
    private int rejectedCalls;
    private int fullServers;
    private int ejections;

    SaturationReport(BalancerActions host) {
        this.host = host;
    }

    void recordRejectedCall() {
        rejectedCalls++;
    }

    /** Counts an attempt that was rejected by a server with a full queue. */
    void recordFullServer() {
        fullServers++;
    }

    void recordEjection() {
        ejections++;
    }

    /** Writes the line if it is due and any counter is set, and then resets the counters. */
    void writeIfDue(double nowMs, int tier, double limit, List<TrackedServer> readyServers) {
        if (nowMs < nextReportMs) {
            return;
        }
        if (rejectedCalls + fullServers + ejections > 0) {
            host.log(line(tier, limit, readyServers));
        }
        rejectedCalls = 0;
        fullServers = 0;
        ejections = 0;
        nextReportMs = nowMs + INTERVAL_MS;
    }

    private String line(int tier, double limit, List<TrackedServer> readyServers) {
        long onProbation = readyServers.stream().filter(server -> server.onProbation).count();
        return "tier "
                + tier
                + ": "
                + rejectedCalls
                + " calls turned away at a limit of "
                + Math.round(limit)
                + " at once, "
                + fullServers
                + " attempts met a full server, "
                + ejections
                + " times a server was put on trial; "
                + onProbation
                + " of "
                + readyServers.size()
                + " on trial now";
    }
}
