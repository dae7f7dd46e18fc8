package poppynotch.pool;

/**
 * The number of edges that share the quotas, and how many of them the latest quota update covers.
 *
 * @param edgeCount the number of edges that share the quotas, at least 1
 * @param reportingEdges the number of edges whose use the update covers, including this one
 */
record EdgeCoverage(int edgeCount, int reportingEdges) {

    /** Whether the use of every edge is known. */
    boolean isComplete() {
        return reportingEdges >= edgeCount;
    }

    /** The fraction of the rate that is the even share of the other edges whose use is known. */
    double othersFraction() {
        return Math.max(0, Math.min(reportingEdges, edgeCount) - 1) / (double) edgeCount;
    }
}
