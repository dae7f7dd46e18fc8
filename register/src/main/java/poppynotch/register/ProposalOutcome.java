package poppynotch.register;

/** The outcome of a proposal. */
public sealed interface ProposalOutcome {

    /**
     * The value is chosen: no later round can lose it.
     *
     * @param replaced whether this proposal replaced the value; false where the change function
     *     left the value as it was
     */
    record Chosen(Ballot ballot, RegisterValue value, boolean replaced)
            implements ProposalOutcome {}

    /**
     * No quorum answered before the deadline. The change may be in force, or come into force later.
     */
    record Unknown() implements ProposalOutcome {}
}
