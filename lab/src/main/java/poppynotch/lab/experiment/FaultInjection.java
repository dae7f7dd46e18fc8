package poppynotch.lab.experiment;

/**
 * A fault that is injected into a simulated world for a while.
 *
 * @param kind what it is
 * @param atMs when it begins
 * @param durationMs how long it lasts; of a release or a restart, over what time its steps are
 *     spread
 * @param tier the name of the affected tier, or empty for every tier
 * @param zone the name of the affected zone, or empty
 * @param affectedFraction the fraction of the possible targets that is affected, 0 to 1
 * @param failureFraction the fraction of the answers that fail, 0 to 1
 * @param factor by how much it multiplies: slowness, or the rate of arrivals
 * @param delayMs by how much it delays, or how long clients wait
 */
public record FaultInjection(
        Kind kind,
        double atMs,
        double durationMs,
        String tier,
        String zone,
        double affectedFraction,
        double failureFraction,
        double factor,
        double delayMs) {

    /** The kinds of faults. */
    public enum Kind {
        /** Model servers die and come back cold. */
        CRASH,
        /** Model servers answer part of their requests with a quick error. */
        ERRORS,
        /** Model servers take requests and answer none. */
        HANG,
        /** Model servers do their work more slowly. */
        SLOW,
        /** Load reports come late. */
        REPORTS_LATE,
        /** Discovery learns of changes late. */
        LISTS_LATE,
        /** More requests arrive. */
        BURST,
        /** All model servers of a zone die and come back cold. */
        ZONE_LOST,
        /** Nothing passes between a zone and the others. */
        ZONE_CUT,
        /**
         * Model servers drain and new ones, cold and with new names, take their place, step by
         * step.
         */
        RELEASE,
        /** Sidecars of the first tier die and start again with nothing but their last list. */
        SIDECARS_KILLED,
        /** Sidecars of the first tier are restarted by SIGTERM, one after the other. */
        SIDECARS_RESTARTED,
        /** Connections break under part of the requests. */
        RESETS,
        /** Part of the answers cannot be read. */
        GARBLED,
        /** Discovery fails every call. */
        DISCOVERY_DOWN,
        /** Discovery answers fewer calls a second. */
        DISCOVERY_SLOW,
        /** Clients wait only so long for a try, and ask again at once. */
        IMPATIENCE
    }

    /** When it is over, in milliseconds from the start. */
    public double untilMs() {
        return atMs + durationMs;
    }
}
