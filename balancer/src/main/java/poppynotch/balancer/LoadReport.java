package poppynotch.balancer;

/** The load that a server reports; a value that it does not report is negative. */
public record LoadReport(double inFlight) {
    /** No report. */
    public static final LoadReport NONE = new LoadReport(-1);
}
