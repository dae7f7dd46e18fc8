package poppynotch.wire;

import java.util.concurrent.TimeUnit;

/**
 * How long control-plane replicas and edges rely on each other's knowledge of servers that have
 * left. The two times are measured on different clocks, so that one is much longer than the other.
 */
public final class DepartureRetention {

    /**
     * How long a replica retains the tombstone of a server, from its removal or from the start of
     * the replica's process on.
     */
    public static final long TOMBSTONE_RETENTION_MS = TimeUnit.MINUTES.toMillis(10);

    /**
     * An edge that was out of contact for longer than this may have missed tombstones that are gone
     * by now, and must not rely on the servers that it knew before.
     */
    public static final long MAX_TRUSTED_ABSENCE_MS = TOMBSTONE_RETENTION_MS / 2;

    private DepartureRetention() {}
}
