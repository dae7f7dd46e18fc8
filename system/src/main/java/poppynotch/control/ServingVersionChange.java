package poppynotch.control;

import java.util.Map;
import java.util.Optional;
import poppynotch.register.ChangeFunction;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.RolloutTable;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.rollout.ServiceVersions;

/**
 * Records the serving versions of services that have none recorded, or whose recorded version has
 * no servers any more. Services whose records have changed since, such as by a rollout, are left
 * unchanged.
 */
final class ServingVersionChange implements ChangeFunction {

    private final Map<String, ServiceVersions> expected;
    private final Map<String, String> versions;

    /**
     * Creates a change.
     *
     * @param expected the records that the change replaces, by backend; none for services not
     *     recorded yet
     * @param versions the serving version to be recorded, by backend
     */
    ServingVersionChange(Map<String, ServiceVersions> expected, Map<String, String> versions) {
        this.expected = Map.copyOf(expected);
        this.versions = Map.copyOf(versions);
    }

    @Override
    public Decision apply(RegisterValue current) {
        RolloutTable table = RolloutTableCodec.decode(current.rollouts());
        RolloutTable changed = table;
        for (Map.Entry<String, String> version : versions.entrySet()) {
            String backend = version.getKey();
            Optional<ServiceVersions> known = table.service(backend);
            if (known.equals(Optional.ofNullable(expected.get(backend)))) {
                changed =
                        changed.with(
                                new ServiceVersions(
                                        backend,
                                        version.getValue(),
                                        known.flatMap(ServiceVersions::rollout)));
            }
        }
        return changed.equals(table)
                ? new Decision.Keep()
                : new Decision.Replace(current.withRollouts(RolloutTableCodec.encode(changed)));
    }
}
