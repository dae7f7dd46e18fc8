package poppynotch.wire;

import java.util.List;

/**
 * One edge's observations of a running rollout since its start. A later report of the same edge
 * replaces this one.
 *
 * @param edgeIncarnation incarnation of the edge's process
 * @param sequence increases with each report of that process
 * @param backend name of the service
 * @param rolloutId id of the service's rollout
 * @param appliedRevision the register's revision that the edge had applied
 * @param servingInFlight attempts in flight at servers of the serving version
 */
public record RolloutReport(
        long edgeIncarnation,
        long sequence,
        String backend,
        long rolloutId,
        long appliedRevision,
        int servingInFlight,
        List<OutcomeCount> counts) {

    public RolloutReport {
        counts = List.copyOf(counts);
    }

    /** A copy of this report with a later sequence number. */
    public RolloutReport withSequence(long later) {
        return new RolloutReport(
                edgeIncarnation,
                later,
                backend,
                rolloutId,
                appliedRevision,
                servingInFlight,
                counts);
    }
}
