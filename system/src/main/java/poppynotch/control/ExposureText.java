package poppynotch.control;

import poppynotch.rollout.Exposure;

/** Describes exposures for log lines and the status report. */
final class ExposureText {

    private ExposureText() {}

    /** A short form without spaces, such as {@code permille=200}. */
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
