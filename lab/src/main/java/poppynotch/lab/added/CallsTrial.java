package poppynotch.lab.added;

import java.io.IOException;
import java.util.function.Consumer;

/**
 * Measures the time that sidecars add to calls. The same calls go straight to a quick server and by
 * a sidecar, in turn, so that a drift of the machine falls on both.
 *
 * <p>The thread that calls {@link #play} plays it all; one event loop carries the callers and one
 * the servers. All that is started is closed at the end.
 */
public final class CallsTrial {

    private CallsTrial() {}

    /**
     * Measures all of a plan: each number of known servers, with and without a fleet, and the
     * chain.
     *
     * @param launcher starts the sidecars
     * @param progress is called with a line now and then
     * @throws IOException if a sidecar cannot be started or ends by itself
     */
    public static CallsOutcome play(
            CallsPlan plan, MeasuredSidecar.Launcher launcher, Consumer<String> progress)
            throws IOException {
        try (TrialEnvironment env = new TrialEnvironment(plan, launcher, progress)) {
            for (boolean fleet : plan.fleets()) {
                for (int known : plan.knownWith(fleet)) {
                    new SidecarMeasurement(env, known, fleet).measure();
                }
            }
            if (plan.hops() > 0) {
                new ChainMeasurement(env).measure();
            }
            return env.outcome();
        }
    }
}
