package poppynotch.fleet.membership;

import java.util.random.RandomGenerator;

/**
 * The state of one member that all classes of its protocol share. Created and owned by {@link
 * Membership}, and confined to its thread.
 *
 * @param settings times and counts of the protocol
 * @param localMember this process
 * @param table what this process knows of each member
 * @param gossipQueue updates to be disseminated
 * @param localHealth how far this process distrusts its own observations
 * @param random the one source of random numbers, so that a run can be repeated from its seed
 */
record ProtocolState(
        SwimSettings settings,
        LocalMember localMember,
        MemberTable table,
        GossipQueue gossipQueue,
        LocalHealth localHealth,
        RandomGenerator random) {}
