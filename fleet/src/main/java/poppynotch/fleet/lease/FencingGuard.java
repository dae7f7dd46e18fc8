package poppynotch.fleet.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Refuses effects of holders who have been followed by others. Whoever receives an effect of a duty
 * asks here first; a holder that stood still with an effect in hand comes too late with it, and is
 * told so.
 */
public final class FencingGuard {

    private final Map<String, Long> highest = new HashMap<>();
    private long refused;

    /** Whether an effect under this token may happen. */
    public boolean admits(String duty, long token) {
        long seen = highest.getOrDefault(duty, 0L);
        if (token <= 0 || token < seen) {
            refused++;
            return false;
        }
        highest.put(duty, token);
        return true;
    }

    /** The highest token seen of a duty; 0 for none. */
    public long highest(String duty) {
        return highest.getOrDefault(duty, 0L);
    }

    /** How many were refused. */
    public long refused() {
        return refused;
    }
}
