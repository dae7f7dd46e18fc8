package poppynotch.config;

/**
 * Limits of client requests and connections.
 *
 * @param maxHeaderBytes maximum size of the header of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutMs time that is added to {@code idleTimeoutMs} for the body of a request to
 *     arrive after its header
 * @param idleTimeoutMs time after which a connection is closed if no complete header has arrived
 *     since its last response
 */
public record ClientLimits(
        int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits if the configuration sets none. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16 * 1024, 4 * 1024 * 1024, 5000, 15_000);
}
