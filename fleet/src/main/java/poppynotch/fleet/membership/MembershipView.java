package poppynotch.fleet.membership;

import java.util.List;

/**
 * Who is present as one process sees it.
 *
 * @param name of the process that sees it
 * @param epoch how often its view has changed
 * @param digest the same for all that see the same processes present
 * @param health how little it trusts its own senses, 0 to 8
 * @param same members that told the same digest last, within {@link
 *     ViewConvergence#REPORT_FRESH_MS}
 * @param other members that told another one within that time
 * @param agreed how many members the last view had that was agreed on
 * @param majority whether more than half of those are present
 * @param superseded another process of this name is the member now
 * @param members all that are held, the dead and gone until they are forgotten
 */
public record MembershipView(
        String name,
        long epoch,
        long digest,
        int health,
        int same,
        int other,
        int agreed,
        boolean majority,
        boolean superseded,
        List<Member> members) {

    /**
     * One member.
     *
     * @param held what is held of it
     * @param sinceMs for how long
     */
    public record Member(MemberUpdate held, double sinceMs) {}

    /** How many are alive or suspect. */
    public long present() {
        return members.stream().filter(each -> each.held().state().isPresent()).count();
    }
}
