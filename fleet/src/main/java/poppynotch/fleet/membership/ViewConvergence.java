package poppynotch.fleet.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the last membership view that the fleet agreed on, and whether more than half of its
 * members are still present.
 *
 * <p>A view is agreed on when it has been stable for a while and all views that other members
 * reported since then are the same. It replaces the previous agreed view only if it contains more
 * than half of that one, so the smaller side of a network partition detects that it is the smaller.
 * Members that left or were forgotten no longer count. The result is informational: mutual
 * exclusion must not depend on it.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class ViewConvergence {

    /**
     * A reported view that is older than this no longer counts. In a large fleet, a member seldom
     * receives messages from any given other member.
     */
    static final double REPORT_FRESH_MS = 30_000;

    /** A view is stable after this time; an update reaches a thousand members in half of it. */
    private static final double STABLE_MS = 5000;

    /** This many other members must report the same view; fewer in a smaller fleet. */
    private static final int MIN_MATCHING_REPORTS = 3;

    private final MemberTable table;

    /** Members of the agreed view, with the run of each. */
    private final Map<String, Long> agreedMembers = new HashMap<>();

    private long agreedDigest;
    private double lastChangeMs = Double.NEGATIVE_INFINITY;

    ViewConvergence(MemberTable table) {
        this.table = table;
    }

    /** Records that the set of present members changed. */
    void onViewChanged(double now) {
        lastChangeMs = now;
    }

    /** Removes a member that left, or was forgotten, from the agreed view. */
    void removeMember(String name) {
        agreedMembers.remove(name);
    }

    /** Makes the present view the agreed one if the conditions for that are met. */
    void checkConvergence(double now) {
        boolean isAgreedAlready = agreedDigest == table.viewDigest() && !agreedMembers.isEmpty();
        if (isAgreedAlready || now - lastChangeMs < STABLE_MS) {
            return;
        }
        if (hasMatchingReports() && (agreedMembers.isEmpty() || isMajorityPresent())) {
            agreeOnPresentView();
        }
    }

    /** Whether enough members reported this view since the last change, and none another one. */
    private boolean hasMatchingReports() {
        int matchingReports = 0;
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.isPresent() && entry.reportedViewMs > lastChangeMs) {
                if (entry.reportedViewDigest != table.viewDigest()) {
                    return false;
                }
                matchingReports++;
            }
        }
        return matchingReports >= Math.min(MIN_MATCHING_REPORTS, table.presentCount() - 1);
    }

    private void agreeOnPresentView() {
        agreedMembers.clear();
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.isPresent()) {
                agreedMembers.put(entry.update.name(), entry.update.run());
            }
        }
        agreedDigest = table.viewDigest();
    }

    /** Number of members of the agreed view, without those that left since. */
    int agreedCount() {
        return agreedMembers.size();
    }

    /**
     * Whether more than half of the agreed view is present. A member that restarted since then
     * counts as the same one.
     */
    boolean isMajorityPresent() {
        long presentCount = agreedMembers.keySet().stream().filter(this::isPresent).count();
        return 2 * presentCount > agreedMembers.size();
    }

    private boolean isPresent(String name) {
        MemberTable.Entry entry = table.get(name);
        return entry != null && entry.isPresent();
    }
}
