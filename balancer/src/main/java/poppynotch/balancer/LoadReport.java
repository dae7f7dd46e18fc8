package poppynotch.balancer;

/** A server's own word on its load; a value it did not report is negative. */
public record LoadReport(double inFlight) {
    /** No report. */
    public static final LoadReport NONE = new LoadReport(-1);
}
