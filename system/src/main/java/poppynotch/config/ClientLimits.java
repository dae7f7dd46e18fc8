package poppynotch.config;

/**
 * Limits for what clients send.
 *
 * @param maxHeaderBytes the most bytes in the header of a request
 * @param maxBodyBytes the most bytes in the body of a request
 * @param headerTimeoutMs time in which the header of a request must arrive
 * @param idleTimeoutMs time after which an idle connection is closed
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits where a configuration has none. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16 * 1024, 4 * 1024 * 1024, 5000, 15_000);
}
