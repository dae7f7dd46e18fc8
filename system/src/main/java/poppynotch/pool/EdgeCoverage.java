package poppynotch.pool;

/**
 * How many edges share the quotas, and how many of them the latest update on quota use covers.
 *
 * @param edgeCount edges that share the quotas, at least 1
 * @param reportingEdges edges whose use the update covers, this one included
 */
record EdgeCoverage(int edgeCount, int reportingEdges) {

    /** Whether the use of every edge is known. */
    boolean isComplete() {
        return reportingEdges >= edgeCount;
    }

    /** The fraction of the rate that belongs to the other edges whose use is known. */
    double othersFraction() {
        return Math.max(0, Math.min(reportingEdges, edgeCount) - 1) / (double) edgeCount;
    }
}
