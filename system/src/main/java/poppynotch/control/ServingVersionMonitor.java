package poppynotch.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.ChangeFunction;
import poppynotch.rollout.RolloutState;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.ServiceVersions;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Determines the serving version that is to be recorded for a service. The first is the version of
 * most of its servers, once all of them state one. It is replaced only once no server has had the
 * recorded version for {@value #ABSENCE_MS} ms, as when operators replace all servers without
 * ordering a rollout. A version that was rolled back is never recorded.
 *
 * <p>Owned by {@link RolloutController}; time is passed in.
 */
final class ServingVersionMonitor {

    private static final Logger LOG = LoggerFactory.getLogger(ServingVersionMonitor.class);

    static final long ABSENCE_MS = 10_000;

    /** The version of servers that state none. */
    private static final String UNSTATED = "";

    private final ServerRegistry registry;

    /** When services were first seen without a server of the recorded version. */
    private final Map<String, Long> absentSinceMs = new HashMap<>();

    ServingVersionMonitor(ServerRegistry registry) {
        this.registry = registry;
    }

    /** Records which services have servers of the recorded version. */
    void observe(long nowMs, RolloutTable table) {
        Set<String> present = new HashSet<>();
        for (ServerRecord server : registry.liveServers()) {
            boolean serving =
                    table.service(server.backend())
                            .filter(
                                    service ->
                                            server.version().isEmpty()
                                                    || service.servingVersion()
                                                            .equals(server.version()))
                            .isPresent();
            if (serving) {
                present.add(server.backend());
            }
        }
        for (String backend : table.services().keySet()) {
            if (present.contains(backend) || !registry.isComplete(nowMs)) {
                absentSinceMs.remove(backend);
            } else {
                absentSinceMs.putIfAbsent(backend, nowMs);
            }
        }
    }

    /** The change that records serving versions; empty if there are none to be recorded. */
    Optional<ChangeFunction> nextChange(long nowMs, RolloutTable table) {
        if (!registry.isComplete(nowMs)) {
            return Optional.empty();
        }
        Map<String, Map<String, Integer>> counts = countReadyServers();
        Map<String, String> versions = new TreeMap<>();
        Map<String, ServiceVersions> expected = new HashMap<>();
        counts.forEach(
                (backend, countByVersion) -> {
                    Optional<ServiceVersions> service = table.service(backend);
                    if (countByVersion.containsKey(UNSTATED)) {
                        // Servers without a version serve in any case: nothing is recorded
                        // until they have been replaced.
                        return;
                    }
                    if (service.isPresent() && !isReplaced(nowMs, service.get())) {
                        return;
                    }
                    service.flatMap(ServingVersionMonitor::rolledBackVersion)
                            .ifPresent(countByVersion::remove);
                    mostFrequent(countByVersion)
                            .ifPresent(
                                    version -> {
                                        versions.put(backend, version);
                                        service.ifPresent(known -> expected.put(backend, known));
                                    });
                });
        if (versions.isEmpty()) {
            return Optional.empty();
        }
        LOG.info("Serving versions proposed: versions={}, replaced={}", versions, expected);
        return Optional.of(new ServingVersionChange(expected, versions));
    }

    private boolean isReplaced(long nowMs, ServiceVersions service) {
        Long since = absentSinceMs.get(service.backend());
        return since != null && nowMs - since >= ABSENCE_MS && service.runningRollout().isEmpty();
    }

    private static Optional<String> rolledBackVersion(ServiceVersions service) {
        return service.rollout()
                .filter(rollout -> rollout.state() == RolloutState.ROLLED_BACK)
                .map(rollout -> rollout.targetVersion());
    }

    /**
     * The empty version if all ready servers of a service state none; nothing if the registry is
     * not complete, or if the serving version is still to be recorded.
     *
     * @param target a version that is about to be rolled out; its servers are ignored
     */
    Optional<String> unstatedVersion(long nowMs, String backend, String target) {
        Set<String> versions =
                new HashSet<>(countReadyServers().getOrDefault(backend, Map.of()).keySet());
        versions.remove(target);
        boolean allUnstated = versions.equals(Set.of(UNSTATED));
        return registry.isComplete(nowMs) && allUnstated ? Optional.of(UNSTATED) : Optional.empty();
    }

    private Map<String, Map<String, Integer>> countReadyServers() {
        Map<String, Map<String, Integer>> counts = new TreeMap<>();
        for (ServerRecord server : registry.liveServers()) {
            if (server.state() == ServerState.READY) {
                counts.computeIfAbsent(server.backend(), key -> new TreeMap<>())
                        .merge(server.version(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** The version with the most servers; among equals, the first by name. */
    private static Optional<String> mostFrequent(Map<String, Integer> countByVersion) {
        String best = null;
        int bestCount = 0;
        for (Map.Entry<String, Integer> entry : countByVersion.entrySet()) {
            if (entry.getValue() > bestCount) {
                best = entry.getKey();
                bestCount = entry.getValue();
            }
        }
        return Optional.ofNullable(best);
    }
}
