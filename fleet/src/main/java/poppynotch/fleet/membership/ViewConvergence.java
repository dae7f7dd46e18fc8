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
    static final double FRESH_MS = 30_000;

    /** News passes a thousand members in half of this. */
    private static final double SETTLED_MS = 5000;

    /** So many others have to tell the same view; fewer where there are fewer. */
    private static final int WITNESSES = 3;

    private final MemberTable table;
    private final Map<String, Long> agreed = new HashMap<>();
    private long digest;
    private double changedMs = Double.NEGATIVE_INFINITY;

    ViewConvergence(MemberTable table) {
        this.table = table;
    }

    void changed(double now) {
        changedMs = now;
    }

    /** Who is gone by its own word, or long dead, is no longer missed. */
    void drop(String name) {
        agreed.remove(name);
    }

    /** Looks whether the present view is agreed on by now. */
    void settle(double now) {
        if (digest == table.viewDigest() && !agreed.isEmpty() || now - changedMs < SETTLED_MS) {
            return;
        }
        int same = 0;
        for (MemberTable.Entry entry : table.all()) {
            if (entry.held.state().isPresent() && entry.toldViewMs > changedMs) {
                if (entry.toldView != table.viewDigest()) {
                    return;
                }
                same++;
            }
        }
        if (same >= Math.min(WITNESSES, table.present() - 1)
                && (agreed.isEmpty() || isMajority())) {
            agreed.clear();
            for (MemberTable.Entry entry : table.all()) {
                if (entry.held.state().isPresent()) {
                    agreed.put(entry.held.name(), entry.held.run());
                }
            }
            digest = table.viewDigest();
        }
    }

    int size() {
        return agreed.size();
    }

    /** A member that was started anew since then counts as the same one. */
    boolean isMajority() {
        long there =
                agreed.keySet().stream()
                        .filter(
                                name -> {
                                    MemberTable.Entry entry = table.get(name);
                                    return entry != null && entry.held.state().isPresent();
                                })
                        .count();
        return 2 * there > agreed.size();
    }
}
