package poppynotch.rollout;

/**
 * Divides the servers of a new version into a few groups by a hash of their ids, the same in every
 * process. Outcomes are counted per group, which bounds their size: a fault of the version appears
 * in all groups, a fault of one server only in that server's group.
 */
public final class ServerGroups {

    /** The number of groups. */
    public static final int COUNT = 8;

    private static final int HASH_FACTOR = 0x9E3779B9;
    private static final int HASH_SHIFT = 29;

    private ServerGroups() {}

    /** The group of a server, 0 to {@link #COUNT} - 1. */
    public static int of(String serverId) {
        return (serverId.hashCode() * HASH_FACTOR) >>> HASH_SHIFT;
    }
}
