package poppynotch.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks fencing tokens at a resource on which lease holders act. The owner of the resource calls
 * {@link #admits} before each operation. An operation with a lower token than one that was seen
 * before comes from a holder that has been replaced, for example because its process was paused
 * while the operation was in progress, and is rejected.
 *
 * <p>Not thread-safe: it is owned and called by the thread of the resource that it protects.
 */
public final class FencingGuard {

    private final Map<String, Long> highestTokenByRole = new HashMap<>();
    private long rejectedCount;

    /**
     * Whether an operation may be executed. After an operation was admitted, operations with lower
     * tokens are rejected.
     *
     * @param role the singleton role that the operation belongs to
     * @param token the fencing token of the lease; 0 or less is always rejected
     */
    public boolean admits(String role, long token) {
        long highestToken = highestToken(role);
        if (token <= 0 || token < highestToken) {
            rejectedCount++;
            return false;
        }
        highestTokenByRole.put(role, token);
        return true;
    }

    /** The highest token that was admitted for a role; 0 if there is none. */
    public long highestToken(String role) {
        return highestTokenByRole.getOrDefault(role, 0L);
    }

    /** The number of operations rejected since the start. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
