package poppynotch.fleet.sharing;

/**
 * Outcomes of one process's calls to one server in the last few seconds, see {@link
 * OutcomeRecorder}. Immutable. Of two observations of a server by the same process the later one
 * counts, so observations merge to the same result in any order and any number of times.
 *
 * @param server the server's id, as discovery reports it
 * @param origin the process that made the observation
 * @param run random id of that process, drawn at its start; distinguishes processes of one name
 * @param version increases with each observation of the origin
 * @param attempts number of calls that ended at the server
 * @param unreachable of these, calls that could not connect
 * @param errors of these, calls that were answered with an error or an unreadable response
 * @param timedOut of these, calls that timed out or whose connection was reset
 * @param ageMs upper bound of its age: the time for which it was stored at each process, plus the
 *     time for which it may have been in transit between them
 */
public record Observation(
        String server,
        String origin,
        long run,
        long version,
        int attempts,
        int unreachable,
        int errors,
        int timedOut,
        double ageMs) {

    /** Maximum plausible number of calls; a higher one is an error of the sender. */
    public static final int MAX_ATTEMPTS = 1_000_000;

    /** Maximum encoded size without the strings: integers and headers. */
    private static final int MAX_ENCODED_BYTES_WITHOUT_STRINGS = 52;

    /** Whether all numbers are within their ranges and consistent. */
    public boolean isPlausible() {
        boolean areCallsPlausible =
                attempts >= 0
                        && attempts <= MAX_ATTEMPTS
                        && unreachable >= 0
                        && errors >= 0
                        && timedOut >= 0
                        && (long) unreachable + errors + timedOut <= attempts;
        return areCallsPlausible
                && version > 0
                && run >= 0
                && ageMs >= 0
                && ageMs < Double.POSITIVE_INFINITY;
    }

    /** Number of calls that failed for any reason. */
    public int failures() {
        return unreachable + errors + timedOut;
    }

    /** Whether this observation overrides another one by the same process of the same server. */
    boolean isLaterThan(Observation other) {
        return run != other.run ? run > other.run : version > other.version;
    }

    Observation withAgeMs(double newAgeMs) {
        return new Observation(
                server, origin, run, version, attempts, unreachable, errors, timedOut, newAgeMs);
    }

    /**
     * Returns the observation without failed connections, for a process in another zone: a server
     * that is unreachable from the origin's zone may be reachable from that one.
     */
    Observation withoutUnreachable() {
        return new Observation(
                server, origin, run, version, attempts - unreachable, 0, errors, timedOut, ageMs);
    }

    /** Upper bound of the observation's size on the wire, in bytes. */
    public int maxEncodedBytes() {
        return MAX_ENCODED_BYTES_WITHOUT_STRINGS + server.length() + origin.length();
    }
}
