package poppynotch.lab.experiment;

/**
 * Something that goes wrong for a while.
 *
 * @param kind what it is
 * @param atMs when it begins
 * @param forMs how long it lasts; of a release or a restart, over what time its steps are spread
 * @param tier the name of the tier that it strikes, or empty for every tier
 * @param zone the name of the zone that it strikes, or empty
 * @param part the part of those that it could strike which it does strike, 0 to 1
 * @param share the part of the answers that it spoils, 0 to 1
 * @param factor by how much it multiplies: slowness, or the rate of arrivals
 * @param delayMs by how much it delays, or how long clients wait
 */
public record FaultInjection(
        Kind kind,
        double atMs,
        double forMs,
        String tier,
        String zone,
        double part,
        double share,
        double factor,
        double delayMs) {

    /** The kinds of trouble. */
    public enum Kind {
        /** Nodos die and come back cold. */
        CRASH,
        /** Nodos answer part of their requests with a quick error. */
        ERRORS,
        /** Nodos take requests and answer none. */
        HANG,
        /** Nodos do their work more slowly. */
        SLOW,
        /** Load reports come late. */
        REPORTS_LATE,
        /** Discovery learns of changes late. */
        LISTS_LATE,
        /** More requests arrive. */
        BURST,
        /** All nodos of a zone die and come back cold. */
        ZONE_LOST,
        /** Nothing passes between a zone and the others. */
        ZONE_CUT,
        /** Nodos drain and new ones, cold and with new names, take their place, step by step. */
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
        return atMs + forMs;
    }
}
