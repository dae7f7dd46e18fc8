package poppynotch.rollout;

/**
 * An operator's order to move a service's traffic to another version, and its progress. Immutable.
 *
 * @param id unique among all rollouts of a fleet: the revision of the register that added the order
 * @param targetVersion the version that the service's traffic moves to
 * @param termMs the time limit: the rollout should be done within this time after the order
 * @param state the state that operators see
 * @param step incremented by each change; a change names the step that it replaces
 * @param elapsedMs the part of the term that had passed at the latest change
 * @param exposure the attempts that the target version may get; none unless the rollout is running
 */
public record Rollout(
        long id,
        String targetVersion,
        long termMs,
        RolloutState state,
        long step,
        long elapsedMs,
        Exposure exposure) {

    /** Creates a rollout that was just ordered; its version gets no attempts yet. */
    public static Rollout ordered(long id, String targetVersion, long termMs) {
        return new Rollout(
                id, targetVersion, termMs, RolloutState.RUNNING, 0, 0, new Exposure.None());
    }

    /** Whether the rollout has not ended. */
    public boolean isRunning() {
        return state == RolloutState.RUNNING;
    }

    /** Returns the next step of a running rollout, with another exposure. */
    public Rollout withExposure(long atElapsedMs, Exposure next) {
        return new Rollout(
                id, targetVersion, termMs, state, step + 1, Math.max(elapsedMs, atElapsedMs), next);
    }

    /** Returns the rollout in a final state. */
    public Rollout ended(long atElapsedMs, RolloutState finalState) {
        return new Rollout(
                id,
                targetVersion,
                termMs,
                finalState,
                step + 1,
                Math.max(elapsedMs, atElapsedMs),
                new Exposure.None());
    }
}
