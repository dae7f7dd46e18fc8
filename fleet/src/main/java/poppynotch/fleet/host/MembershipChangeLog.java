package poppynotch.fleet.host;

import java.util.function.Consumer;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;

/** A line for each change of a member, and few in a storm of them. */
final class MembershipChangeLog {

    /** Lines a second; of the rest the number is told. */
    private static final int MOST = 10;

    private final Consumer<String> log;
    private double secondMs = Double.NEGATIVE_INFINITY;
    private int said;
    private int left;

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
        if (now - secondMs >= 1000) {
            if (left > 0) {
                log.accept("fleet: and " + left + " more changes");
            }
            secondMs = now;
            said = 0;
            left = 0;
        }
        if (said == MOST) {
            left++;
            return;
        }
        said++;
        log.accept(
                "fleet: "
                        + is.name()
                        + " at "
                        + is.address()
                        + " "
                        + (before == null
                                ? "is new: "
                                : sameProcess
                                        ? "was " + word(before) + ": "
                                        : "is another process: ")
                        + word(is)
                        + " (incarnation "
                        + is.incarnation()
                        + (is.state() == MemberState.SUSPECT && !is.by().isEmpty()
                                ? ", by " + is.by()
                                : "")
                        + ")");
    }

    private static String word(MemberUpdate update) {
        String state = update.state().name().toLowerCase(java.util.Locale.ROOT);
        return update.state() == MemberState.ALIVE && update.profile() != null
                ? state + ", " + update.profile().phase().name().toLowerCase(java.util.Locale.ROOT)
                : state;
    }
}
