package poppynotch.fleet.host;

import java.util.function.Consumer;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;

/** A line for each change of a member, and few in a storm of them. */
final class MembershipChangeLog {

    /** Lines a second; of the rest the number is told. */
    private static final int MAX_LINES_PER_S = 10;

    private final Consumer<String> log;
    private double windowStartMs = Double.NEGATIVE_INFINITY;
    private int linesInWindow;
    private int suppressedLines;

    MembershipChangeLog(Consumer<String> log) {
        this.log = log;
    }

    void changed(double now, MemberUpdate before, MemberUpdate is) {
        boolean sameProcess = before != null && before.run() == is.run();
        if (sameProcess
                && before.state() == is.state()
                && is.state() == MemberState.ALIVE
                && is.profile() != null
                && is.profile().equals(before.profile())) {
            // It has only spoken up.
            return;
        }
        if (now - windowStartMs >= 1000) {
            if (suppressedLines > 0) {
                log.accept("fleet: and " + suppressedLines + " more changes");
            }
            windowStartMs = now;
            linesInWindow = 0;
            suppressedLines = 0;
        }
        if (linesInWindow == MAX_LINES_PER_S) {
            suppressedLines++;
            return;
        }
        linesInWindow++;
        log.accept(
                "fleet: "
                        + is.name()
                        + " at "
                        + is.address()
                        + " "
                        + (before == null
                                ? "is new: "
                                : sameProcess
                                        ? "was " + stateText(before) + ": "
                                        : "is another process: ")
                        + stateText(is)
                        + " (incarnation "
                        + is.incarnation()
                        + (is.state() == MemberState.SUSPECT && !is.by().isEmpty()
                                ? ", by " + is.by()
                                : "")
                        + ")");
    }

    private static String stateText(MemberUpdate update) {
        String state = update.state().name().toLowerCase(java.util.Locale.ROOT);
        return update.state() == MemberState.ALIVE && update.profile() != null
                ? state + ", " + update.profile().phase().name().toLowerCase(java.util.Locale.ROOT)
                : state;
    }
}
