package poppynotch.fleet.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Which view was agreed on last, and whether more than half of it is still there. A view is agreed
 * on when it has not changed for a while and all that told of theirs since then told the same. It
 * takes the place of the one before only if it holds more than half of that, so the smaller side of
 * a cut knows that it is the smaller. Who leaves, or is forgotten, no longer counts in it. It is
 * told to operators; nothing exclusive may rest on it.
 */
final class ViewConvergence {

    /**
     * Views told longer ago say nothing of now: a member of a large fleet hears each other one
     * seldom.
     */
    static final double REPORT_FRESH_MS = 30_000;

    /** News passes a thousand members in half of this. */
    private static final double STABLE_MS = 5000;

    /** So many others have to tell the same view; fewer where there are fewer. */
    private static final int MIN_MATCHING_REPORTS = 3;

    private final MemberTable table;
    private final Map<String, Long> agreedMembers = new HashMap<>();
    private long agreedDigest;
    private double lastChangeMs = Double.NEGATIVE_INFINITY;

    ViewConvergence(MemberTable table) {
        this.table = table;
    }

    void onViewChanged(double now) {
        lastChangeMs = now;
    }

    /** Who is gone by its own word, or long dead, is no longer missed. */
    void removeMember(String name) {
        agreedMembers.remove(name);
    }

    /** Looks whether the present view is agreed on by now. */
    void checkConvergence(double now) {
        if (agreedDigest == table.viewDigest() && !agreedMembers.isEmpty()
                || now - lastChangeMs < STABLE_MS) {
            return;
        }
        int same = 0;
        for (MemberTable.Entry entry : table.entries()) {
            if (entry.update.state().isPresent() && entry.reportedViewMs > lastChangeMs) {
                if (entry.reportedViewDigest != table.viewDigest()) {
                    return;
                }
                same++;
            }
        }
        if (same >= Math.min(MIN_MATCHING_REPORTS, table.presentCount() - 1)
                && (agreedMembers.isEmpty() || isMajorityPresent())) {
            agreedMembers.clear();
            for (MemberTable.Entry entry : table.entries()) {
                if (entry.update.state().isPresent()) {
                    agreedMembers.put(entry.update.name(), entry.update.run());
                }
            }
            agreedDigest = table.viewDigest();
        }
    }

    int agreedCount() {
        return agreedMembers.size();
    }

    /** A member that was started anew since then counts as the same one. */
    boolean isMajorityPresent() {
        long there =
                agreedMembers.keySet().stream()
                        .filter(
                                name -> {
                                    MemberTable.Entry entry = table.get(name);
                                    return entry != null && entry.update.state().isPresent();
                                })
                        .count();
        return 2 * there > agreedMembers.size();
    }
}
