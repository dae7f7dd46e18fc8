package poppynotch.pool;

/**
 * The end of an attempt at a server, as input of the comparison of versions.
 *
 * @param version the server's version; empty if it states none
 * @param firstResponseMs time from the acquisition of the slot to the first response; {@link
 *     #NO_RESPONSE} if there was none
 * @param elapsedMs time from the acquisition of the slot to the end
 * @param uncachedTokens prompt tokens that the server had to prefill, as they were not cached
 */
public record EndedAttempt(
        String backend,
        String route,
        String serverId,
        String version,
        SlotOutcome outcome,
        long firstResponseMs,
        long elapsedMs,
        int uncachedTokens) {

    /** The value of {@code firstResponseMs} if no part of a response has arrived. */
    public static final long NO_RESPONSE = -1;

    boolean hasResponse() {
        return firstResponseMs != NO_RESPONSE;
    }
}
