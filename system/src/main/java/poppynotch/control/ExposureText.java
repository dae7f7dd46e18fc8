package poppynotch.control;

import poppynotch.rollout.Exposure;

/** Describes exposures for log lines and the status report. */
final class ExposureText {

    private ExposureText() {}

    /** One or two words and numbers. */
    static String of(Exposure exposure) {
        if (exposure instanceof Exposure.AttemptBudget rights) {
            return "rights="
                    + rights.attempts()
                    + "/edges="
                    + rights.edgeIncarnations().size()
                    + "/servers="
                    + rights.serverIds().size();
        }
        if (exposure instanceof Exposure.Share share) {
            return "permille=" + share.permille();
        }
        return "none";
    }
}
