package poppynotch.rollout;

/** The state of a rollout, as operators see it. */
public enum RolloutState {
    /** The new version is being tried, or its share is being raised. */
    RUNNING("running"),
    /** The new version serves all requests; the old servers may stop. */
    DONE("done"),
    /** The old version serves all requests; the new servers may stop. */
    ROLLED_BACK("rolled_back");

    private final String wireName;

    RolloutState(String wireName) {
        this.wireName = wireName;
    }

    /** The state's name in the operators' API and in stored rollouts. */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the state with the given wire name.
     *
     * @throws IllegalArgumentException if no state has this name
     */
    static RolloutState ofWireName(String name) {
        for (RolloutState state : values()) {
            if (state.wireName.equals(name)) {
                return state;
            }
        }
        throw new IllegalArgumentException("unknown rollout state: " + name);
    }
}
