package poppynotch.fleet.sharing;

/**
 * What one process observed of one server in its last windows. Immutable. Of two observations by
 * the same process the later one counts, so observations merge to the same result in any order and
 * any number of times.
 *
 * @param server the server's id, as discovery names it
 * @param origin the process that made the observation
 * @param run distinguishes processes of that name
 * @param version grows with each observation of the origin
 * @param attempts number of calls that ended at the server
 * @param unreachable of these, calls that could not connect
 * @param errors of these, calls that were answered with an error or something that cannot be read
 * @param timedOut of these, calls that timed out or whose connection was reset
 * @param ageMs upper bound of its age: the time for which it was stored at each process, and the
 *     time for which it may have been in transit in between
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

    /** An observation of more calls than this is an error of its sender. */
    public static final int MAX_ATTEMPTS = 1_000_000;

    /** The numbers and the bytes that mark the fields. */
    private static final int MAX_ENCODED_BYTES_BESIDE_TEXTS = 52;

    /** Whether the numbers can be true. */
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

    /** Number of calls that failed, in whatever way. */
    public int failures() {
        return unreachable + errors + timedOut;
    }

    /** Whether this observation counts, of two by the same process about the same server. */
    boolean isLaterThan(Observation other) {
        return run != other.run ? run > other.run : version > other.version;
    }

    Observation withAgeMs(double newAgeMs) {
        return new Observation(
                server, origin, run, version, attempts, unreachable, errors, timedOut, newAgeMs);
    }

    /**
     * What the observation means to a process in another zone: a server that cannot be reached from
     * the origin's zone may be reachable from there.
     */
    Observation withoutUnreachable() {
        return new Observation(
                server, origin, run, version, attempts - unreachable, 0, errors, timedOut, ageMs);
    }

    /** Upper bound of the observation's size on the wire, in bytes. */
    public int maxEncodedBytes() {
        return MAX_ENCODED_BYTES_BESIDE_TEXTS + server.length() + origin.length();
    }
}
