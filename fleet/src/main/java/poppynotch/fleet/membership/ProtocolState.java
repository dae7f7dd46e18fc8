package poppynotch.fleet.membership;

import java.util.random.RandomGenerator;

/**
 * The local member's state that the classes of the protocol share. Created and owned by {@link
 * Membership}, and confined to its thread.
 *
 * @param settings times and counts of the protocol
 * @param localMember this process
 * @param table the last update about each member
 * @param gossipQueue updates to be disseminated
 * @param localHealth how far this process distrusts its own observations
 * @param random the only source of random numbers, so that a run can be repeated from its seed
 */
record ProtocolState(
        SwimSettings settings,
        LocalMember localMember,
        MemberTable table,
        GossipQueue gossipQueue,
        LocalHealth localHealth,
        RandomGenerator random) {}
