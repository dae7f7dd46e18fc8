package poppynotch.fleet.host;

import java.util.Locale;
import java.util.function.Consumer;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;

/**
 * Logs a line for each change of a member, at a limited rate. Owned by {@link FleetHost} and
 * confined to its event loop.
 */
final class MembershipChangeLog {

    /** Maximum number of lines per second; of further changes only the number is logged. */
    private static final int MAX_LINES_PER_S = 10;

    private static final double WINDOW_MS = 1000;

    private final Consumer<String> log;
    private double windowStartMs = Double.NEGATIVE_INFINITY;
    private int linesInWindow;
    private int suppressedLines;

    MembershipChangeLog(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Logs a change.
     *
     * @param now the current time in milliseconds
     * @param before the previous update about the member, or null for a new member
     * @param current the current update about the member
     */
    void changed(double now, MemberUpdate before, MemberUpdate current) {
        boolean isSameProcess = before != null && before.run() == current.run();
        if (isSameProcess && isRefutationOnly(before, current)) {
            return;
        }
        if (now - windowStartMs >= WINDOW_MS) {
            beginWindow(now);
        }
        if (linesInWindow == MAX_LINES_PER_S) {
            suppressedLines++;
            return;
        }
        linesInWindow++;
        log.accept(line(before, current, isSameProcess));
    }

    /** Whether the member only raised its incarnation. */
    private static boolean isRefutationOnly(MemberUpdate before, MemberUpdate current) {
        return before.state() == current.state()
                && current.state() == MemberState.ALIVE
                && current.profile() != null
                && current.profile().equals(before.profile());
    }

    private void beginWindow(double now) {
        if (suppressedLines > 0) {
            log.accept("fleet: Member changes not logged: count=" + suppressedLines);
        }
        windowStartMs = now;
        linesInWindow = 0;
        suppressedLines = 0;
    }

    private static String line(MemberUpdate before, MemberUpdate current, boolean isSameProcess) {
        String transition;
        if (before == null) {
            transition = "change=new, state=";
        } else if (isSameProcess) {
            transition = "change=state, oldState=" + stateText(before) + ", newState=";
        } else {
            transition = "change=newProcess, state=";
        }
        boolean isSuspectedByMember =
                current.state() == MemberState.SUSPECT && !current.suspectedBy().isEmpty();
        return "fleet: Member changed: name="
                + current.name()
                + ", address="
                + current.address()
                + ", "
                + transition
                + stateText(current)
                + ", incarnation="
                + current.incarnation()
                + (isSuspectedByMember ? ", suspectedBy=" + current.suspectedBy() : "");
    }

    private static String stateText(MemberUpdate update) {
        String state = update.state().name().toLowerCase(Locale.ROOT);
        return update.state() == MemberState.ALIVE && update.profile() != null
                ? state + "/" + update.profile().phase().name().toLowerCase(Locale.ROOT)
                : state;
    }
}
