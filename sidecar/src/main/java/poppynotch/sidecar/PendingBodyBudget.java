package poppynotch.sidecar;

/**
 * The limit on the bytes of incomplete request bodies, over all client connections. Requests beyond
 * it are rejected, which is safe as they have not run. It is owned by {@link Frontend} and called
 * on the sidecar's event loop only; it counts bytes and holds no buffers.
 */
final class PendingBodyBudget {

    private final int maxBytes;
    private int usedBytes;

    PendingBodyBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts bytes of a body that are buffered. */
    void reserve(int bytes) {
        usedBytes += bytes;
    }

    /** Counts bytes of a body as no longer buffered. */
    void release(int bytes) {
        usedBytes -= bytes;
    }

    boolean isExceeded() {
        return usedBytes > maxBytes;
    }

    int usedBytes() {
        return usedBytes;
    }
}
