package poppynotch.rollout;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions and rollouts of all services, as the fleet has agreed on them. Immutable.
 *
 * @param services the services' versions, by the names of their backends
 */
public record RolloutTable(Map<String, ServiceVersions> services) {

    /** The table before any version is recorded. */
    public static final RolloutTable EMPTY = new RolloutTable(Map.of());

    public RolloutTable {
        services = ImmutableSortedMap.copyOf(services);
    }

    /** Whether no version of any service is recorded yet. */
    public boolean isEmpty() {
        return services.isEmpty();
    }

    /** Returns the recorded versions of a service; empty if there are none. */
    public Optional<ServiceVersions> service(String backend) {
        return Optional.ofNullable(services.get(backend));
    }

    /** Returns the table with the versions of one service added or replaced. */
    public RolloutTable with(ServiceVersions service) {
        Map<String, ServiceVersions> changed = new TreeMap<>(services);
        changed.put(service.backend(), service);
        return new RolloutTable(changed);
    }
}
