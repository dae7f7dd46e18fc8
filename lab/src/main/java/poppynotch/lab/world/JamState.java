package poppynotch.lab.world;

import poppynotch.lab.experiment.Experiment.Jam;

/**
 * Whether a model server is jammed: after a long overload it works slower until it has had little
 * to do for a while. Owned by one {@link ModelServer}, called on the day's thread.
 */
final class JamState {

    private static final double NEVER = -1;

    private final Jam settings;
    private boolean jammed;
    private double jammedSinceMs;
    private double overloadedSinceMs = NEVER;
    private double recoveringSinceMs = NEVER;

    JamState(Jam settings) {
        this.settings = settings;
    }

    boolean isJammed() {
        return jammed;
    }

    void reset() {
        jammed = false;
        overloadedSinceMs = NEVER;
        recoveringSinceMs = NEVER;
    }

    /** While not jammed: notes how many requests each core has, which may begin a jam. */
    void trackOverload(double now, double requestsPerCore) {
        if (requestsPerCore <= settings.enterAtPerCore()) {
            overloadedSinceMs = NEVER;
            return;
        }
        if (overloadedSinceMs < 0) {
            overloadedSinceMs = now;
        }
        if (now - overloadedSinceMs >= settings.afterMs()) {
            jammed = true;
            jammedSinceMs = now;
            recoveringSinceMs = NEVER;
        }
    }

    /** While jammed: whether it has been quiet, or jammed, for long enough to end the jam. */
    boolean canEnd(double now) {
        return (recoveringSinceMs >= 0 && now - recoveringSinceMs >= settings.recoveryMs())
                || now - jammedSinceMs >= settings.maxMs();
    }

    void end() {
        jammed = false;
        overloadedSinceMs = NEVER;
    }

    /** While jammed: notes how many requests each core has. */
    void trackRecovery(double now, double requestsPerCore) {
        if (requestsPerCore >= settings.leaveBelowPerCore()) {
            recoveringSinceMs = NEVER;
        } else if (recoveringSinceMs < 0) {
            recoveringSinceMs = now;
        }
    }
}
