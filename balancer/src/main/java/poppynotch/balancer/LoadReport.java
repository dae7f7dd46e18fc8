package poppynotch.balancer;

/** What a server reports of its own load; a value that it did not report is negative. */
public record LoadReport(double inFlight) {
    /** No report. */
    public static final LoadReport NONE = new LoadReport(-1);
}
