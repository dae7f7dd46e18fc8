package poppynotch.balancer;

import java.util.List;

/** Counts signs of saturation and writes them to the operators' log, one line in a while. */
final class SaturationReport {

    /** The operators get a line at most once in this time. */
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

    /** An attempt met a server whose queue was full. */
    void recordFullServer() {
        fullServers++;
    }

    /** A server was put on probation. */
    void recordEjection() {
        ejections++;
    }

    /** Writes the line if it is due and there is something to report, and starts counting anew. */
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
