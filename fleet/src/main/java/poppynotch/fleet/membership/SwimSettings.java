package poppynotch.fleet.membership;

/**
 * Settings of the SWIM protocol; times are in milliseconds. Immutable.
 *
 * @param probeIntervalMs one member is probed in each interval
 * @param ackTimeoutMs how long an acknowledgement may take before indirect probes are requested
 * @param indirectProbeCount how many members are asked for an indirect probe
 * @param minSuspicionMs minimum time for which a member is suspected before it is declared dead,
 *     once enough members suspect it independently
 * @param maxSuspicionMs maximum of that time, if only one member suspects it
 * @param confirmations number of further suspecting members that shorten the time to its minimum
 * @param gossipIntervalMs interval between GOSSIP messages, while updates are queued
 * @param gossipFanout number of members that updates are sent to in each of these intervals
 * @param retransmitMultiplier factor of the number of transmissions of an update, see {@link
 *     RetransmitLimit#transmissions}
 * @param syncIntervalMs interval between comparisons of the table with that of another member
 * @param reconnectIntervalMs interval between probes of members that are dead or left
 * @param forgetAfterMs a member that is dead or left is removed from the table after this time
 */
public record SwimSettings(
        double probeIntervalMs,
        double ackTimeoutMs,
        int indirectProbeCount,
        double minSuspicionMs,
        double maxSuspicionMs,
        int confirmations,
        double gossipIntervalMs,
        int gossipFanout,
        double retransmitMultiplier,
        double syncIntervalMs,
        double reconnectIntervalMs,
        double forgetAfterMs) {

    /**
     * The settings in use. A fleet of a thousand members must detect a failure within 8 s. In 99 of
     * 100 cases some member probes the failed one within 2.3 s, at two probes a second; the probe
     * takes half a second more, and the rest is left for the suspicion. Answers within a region
     * take some milliseconds, so without one after 200 ms a datagram was lost.
     */
    public static final SwimSettings DEFAULT =
            new SwimSettings(500, 200, 3, 1200, 7000, 3, 200, 3, 4, 10_000, 2000, 600_000);
}
