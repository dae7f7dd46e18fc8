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

    /** No quorum replied before the deadline. The change may be chosen, or be chosen later. */
    record Unknown() implements ProposalOutcome {}
}
