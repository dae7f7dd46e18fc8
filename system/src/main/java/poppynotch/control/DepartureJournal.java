package poppynotch.control;

import java.util.List;
import poppynotch.wire.ServerRecord;

/**
 * Persists the servers of a registry that drain or have left, so that a replica which restarts
 * lists them so from its start on. Changes that wait at the same time share one write.
 *
 * <p>Owned by {@link RegistryReplicator} and called from the thread of the {@link
 * ControlPlaneNode}; callbacks run on that thread.
 */
final class DepartureJournal {

    private final ServerRegistry registry;
    private final StateStorage<List<ServerRecord>> storage;

    /** The version of the departures that was last handed to the storage. */
    private long requestedVersion;

    /** The version of the departures that is on disk. */
    private long durableVersion;

    /** Creates the journal of a registry whose present departures are on disk. */
    DepartureJournal(ServerRegistry registry, StateStorage<List<ServerRecord>> storage) {
        this.registry = registry;
        this.storage = storage;
        requestedVersion = registry.departuresVersion();
        durableVersion = requestedVersion;
    }

    /**
     * Runs an action once all departures that the registry has now are on disk: at once if they
     * are, and never if they can't be written.
     */
    void whenDurable(Runnable action) {
        long version = registry.departuresVersion();
        if (version <= durableVersion) {
            action.run();
            return;
        }
        boolean isRequested = version == requestedVersion;
        requestedVersion = version;
        storage.persist(
                isRequested ? null : registry.departures(),
                () -> {
                    durableVersion = Math.max(durableVersion, version);
                    action.run();
                });
    }

    /** Starts to write the departures that are not on disk yet. */
    void flush() {
        if (registry.departuresVersion() != requestedVersion) {
            whenDurable(() -> {});
        }
    }
}
