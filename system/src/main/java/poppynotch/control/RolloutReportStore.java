package poppynotch.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import poppynotch.rollout.Rollout;
import poppynotch.rollout.VersionOutcomes;
import poppynotch.wire.OutcomeCount;
import poppynotch.wire.RolloutReport;

/**
 * The latest report of each edge on each running rollout, received from the edges themselves or
 * relayed by other replicas. Reports of edges that have ended are kept while the rollout is
 * running.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread.
 */
final class RolloutReportStore {

    private static final int MAX_REPORTS = 8192;

    private record Key(String backend, long edgeIncarnation) {}

    private final Map<Key, RolloutReport> reports = new HashMap<>();

    /** Keys of reports received here that have not been relayed to other replicas yet. */
    private final Set<Key> unrelayed = new HashSet<>();

    /** Records reports that an edge sent here. */
    void onReports(List<RolloutReport> received) {
        for (RolloutReport report : received) {
            if (record(report)) {
                unrelayed.add(key(report));
            }
        }
    }

    /** Records reports that another replica relays. */
    void onRelayed(List<RolloutReport> relayed) {
        relayed.forEach(this::record);
    }

    private boolean record(RolloutReport report) {
        RolloutReport known = reports.get(key(report));
        boolean outdated =
                known != null
                        && (report.rolloutId() < known.rolloutId()
                                || (report.rolloutId() == known.rolloutId()
                                        && report.sequence() <= known.sequence()));
        if (outdated || (known == null && reports.size() >= MAX_REPORTS)) {
            return false;
        }
        reports.put(key(report), report);
        return true;
    }

    private static Key key(RolloutReport report) {
        return new Key(report.backend(), report.edgeIncarnation());
    }

    /** Returns the reports received here that have not been relayed yet; marks them as relayed. */
    List<RolloutReport> drainUnrelayed() {
        List<RolloutReport> drained = new ArrayList<>(unrelayed.size());
        unrelayed.forEach(key -> drained.add(reports.get(key)));
        unrelayed.clear();
        return drained;
    }

    /** Removes reports on rollouts that are not running. */
    void retain(Set<Long> runningIds) {
        reports.values().removeIf(report -> !runningIds.contains(report.rolloutId()));
        unrelayed.removeIf(key -> !reports.containsKey(key));
    }

    /** The outcomes of a rollout's attempts, summed over the latest reports of all edges. */
    VersionOutcomes outcomes(String backend, Rollout rollout) {
        Map<VersionOutcomes.Key, VersionOutcomes.Counts> sums = new TreeMap<>();
        for (RolloutReport report : reportsOn(backend, rollout)) {
            for (OutcomeCount count : report.counts()) {
                sums.merge(
                        new VersionOutcomes.Key(count.route(), count.serverGroup()),
                        new VersionOutcomes.Counts(count.ended(), count.failed(), count.slow()),
                        VersionOutcomes.Counts::plus);
            }
        }
        return new VersionOutcomes(sums);
    }

    /**
     * Whether each of these edges has applied a revision and has no attempt in flight at a server
     * of the serving version.
     */
    boolean hasDrained(
            String backend, Rollout rollout, long revision, Collection<Long> edgeIncarnations) {
        Set<Long> drained = new HashSet<>();
        for (RolloutReport report : reportsOn(backend, rollout)) {
            if (report.appliedRevision() >= revision && report.servingInFlight() == 0) {
                drained.add(report.edgeIncarnation());
            }
        }
        return drained.containsAll(edgeIncarnations);
    }

    private List<RolloutReport> reportsOn(String backend, Rollout rollout) {
        return reports.values().stream()
                .filter(report -> report.rolloutId() == rollout.id())
                .filter(report -> report.backend().equals(backend))
                .toList();
    }
}
