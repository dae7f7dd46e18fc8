package poppynotch.sidecar;

/**
 * The limit on the bytes of request bodies that are not complete yet, over all connections of
 * clients: what would be more is rejected, as it has not run. It is owned by {@link Frontend} and
 * called on the sidecar's event loop only; it counts bytes and has no buffers.
 */
final class PendingBodyBudget {

    private final int maxBytes;
    private int usedBytes;

    PendingBodyBudget(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** So many more bytes have been received of a body. */
    void reserve(int bytes) {
        usedBytes += bytes;
    }

    /** So many bytes of a body are no longer buffered. */
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
