package poppynotch.fleet.membership;

import java.util.List;

/**
 * Snapshot of the membership as one process sees it. Immutable.
 *
 * @param name of the process whose view it is
 * @param epoch how often the set of present members has changed in this view
 * @param digest equal for all processes that see the same members present
 * @param healthScore Lifeguard's local health score, 0 (healthy) to 8
 * @param matchingViews number of members that reported the same digest last, within {@link
 *     ViewConvergence#REPORT_FRESH_MS}
 * @param differingViews number of members that reported another digest within that time
 * @param agreedMembers number of members of the last view that the fleet agreed on
 * @param majorityPresent whether more than half of those are present
 * @param superseded whether another process of this name is the member now
 * @param members all known members, also those that are dead or left, until they are forgotten
 */
public record MembershipView(
        String name,
        long epoch,
        long digest,
        int healthScore,
        int matchingViews,
        int differingViews,
        int agreedMembers,
        boolean majorityPresent,
        boolean superseded,
        List<Member> members) {

    /**
     * One member.
     *
     * @param update the last accepted update about it
     * @param sinceMs for how long it has been in that state, in milliseconds
     */
    public record Member(MemberUpdate update, double sinceMs) {}

    /** Number of members that are alive or suspect. */
    public long presentCount() {
        return members.stream().filter(member -> member.update().state().isPresent()).count();
    }
}
