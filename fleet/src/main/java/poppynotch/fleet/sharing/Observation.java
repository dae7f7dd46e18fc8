package poppynotch.fleet.sharing;

/**
 * What one process saw of one server in its last window. Of two by the same process the later one
 * counts, so sightings merge in any order and any number of times to the same.
 *
 * @param server the server's id, as discovery names it
 * @param origin the process that saw it
 * @param run which process of that name
 * @param version grows with each sighting of the origin
 * @param attempts how many calls ended there in the window
 * @param unreachable of these, could not connect
 * @param errors of these, were answered with an error or something that cannot be read
 * @param timedOut of these, timed out or were reset
 * @param ageMs how old it is at most: the time that it was held at each place, and what it may have
 *     been under way in between
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

    /** More calls than this in one window are a fault of whoever tells of them. */
    public static final int MAX_ATTEMPTS = 1_000_000;

    /** Whether the counts can be true. */
    public boolean isPlausible() {
        return attempts >= 0
                && attempts <= MAX_ATTEMPTS
                && unreachable >= 0
                && errors >= 0
                && timedOut >= 0
                && (long) unreachable + errors + timedOut <= attempts
                && version > 0
                && run >= 0
                && ageMs >= 0
                && ageMs < Double.POSITIVE_INFINITY;
    }

    /** Calls that failed, of whatever kind. */
    public int failures() {
        return unreachable + errors + timedOut;
    }

    /** Whether this one counts where both are known. */
    boolean isLaterThan(Observation other) {
        return run != other.run ? run > other.run : version > other.version;
    }

    Observation withAgeMs(double ms) {
        return new Observation(
                server, origin, run, version, attempts, unreachable, errors, timedOut, ms);
    }

    /**
     * What it says to one who stands elsewhere: what could not be reached from there may be from
     * here.
     */
    Observation withoutUnreachable() {
        return new Observation(
                server, origin, run, version, attempts - unreachable, 0, errors, timedOut, ageMs);
    }

    /** At most so many bytes on the wire. */
    public int maxEncodedBytes() {
        return 52 + server.length() + origin.length();
    }
}
