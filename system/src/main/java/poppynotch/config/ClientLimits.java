package poppynotch.config;

/** What clients may send, and how long they may take. */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits where a configuration names none. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16 * 1024, 4 * 1024 * 1024, 5000, 15_000);
}
