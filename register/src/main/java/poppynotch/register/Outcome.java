package poppynotch.register;

/** How a proposal ended. */
public sealed interface Outcome {

    /**
     * The value is chosen: no later round can lose it.
     *
     * @param replaced whether this proposal made it; else the value was there and the change kept
     *     it
     */
    record Chosen(Ballot ballot, RegisterValue value, boolean replaced) implements Outcome {}

    /** No quorum answered in time. The change may be in force, or come into force later. */
    record Unclear() implements Outcome {}
}
