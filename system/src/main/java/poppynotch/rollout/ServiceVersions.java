package poppynotch.rollout;

import java.util.Optional;

/**
 * The serving version of a service's servers, and the service's latest rollout. Immutable.
 *
 * @param servingVersion the version that gets all requests while no rollout is running
 * @param rollout the latest rollout, which may have ended; empty before the first one
 */
public record ServiceVersions(String backend, String servingVersion, Optional<Rollout> rollout) {

    /** Creates the versions of a service without a rollout. */
    public static ServiceVersions serving(String backend, String version) {
        return new ServiceVersions(backend, version, Optional.empty());
    }

    /** The latest rollout, if it has not ended. */
    public Optional<Rollout> runningRollout() {
        return rollout.filter(Rollout::isRunning);
    }

    /**
     * Returns the service with a new state of its rollout; one that is done changes the serving
     * version.
     */
    public ServiceVersions withRollout(Rollout next) {
        String serving = next.state() == RolloutState.DONE ? next.targetVersion() : servingVersion;
        return new ServiceVersions(backend, serving, Optional.of(next));
    }
}
