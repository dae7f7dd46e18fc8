package poppynotch.fleet.membership;

import java.util.List;

/**
 * Snapshot of the membership as one process sees it. Immutable.
 *
 * @param name name of the process whose view this is
 * @param epoch how often the set of present members has changed in this view
 * @param digest equal for all processes that see the same members present
 * @param healthScore Lifeguard's local health score, 0 (healthy) to 8
 * @param matchingViews number of members whose last report, within {@link
 *     ViewConvergence#REPORT_FRESH_MS}, has the same digest
 * @param differingViews number of members whose last report within that time has another digest
 * @param agreedMembers number of members of the last view that the fleet agreed on
 * @param majorityPresent whether more than half of the agreed members are present
 * @param superseded whether another process has replaced this one as the member of its name
 * @param members all known members, including those that are dead or left, until forgotten
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
     * @param update the last accepted update about the member
     * @param sinceMs for how long the member has been in its state, in milliseconds
     */
    public record Member(MemberUpdate update, double sinceMs) {}

    /** Number of members that are alive or suspect. */
    public long presentCount() {
        return members.stream().filter(member -> member.update().state().isPresent()).count();
    }
}
