package poppynotch.fleet.membership;

/**
 * The protocol's times in milliseconds and its counts.
 *
 * @param periodMs one member is probed in each
 * @param ackMs how long an answer may take before others are asked to try
 * @param proxies how many others try
 * @param suspicionMinMs a suspect has so long at least, once enough members suspect it
 *     independently
 * @param suspicionMaxMs a suspect has so long at most, where nobody else suspects it
 * @param confirmations so many further members that suspect it make the longest time the shortest
 * @param gossipMs news is sent on by itself this often while there is any
 * @param fanout to so many at a time
 * @param spread news is sent so many times the decimal logarithm of the fleet's size
 * @param syncMs tables are compared with another member this often
 * @param reconnectMs one that is dead or gone is tried this often
 * @param forgetMs who is dead or has left is forgotten after this
 */
public record SwimSettings(
        double periodMs,
        double ackMs,
        int proxies,
        double suspicionMinMs,
        double suspicionMaxMs,
        int confirmations,
        double gossipMs,
        int fanout,
        double spread,
        double syncMs,
        double reconnectMs,
        double forgetMs) {

    /**
     * The figures in use. A fleet of a thousand is to know of a death within 8 s: somebody probes
     * the dead within 2.3 s in 99 of 100 cases at two probes a second, which takes half a second
     * more, and the rest is left to the suspect. Answers within a region take some milliseconds, so
     * 200 ms is a lost datagram.
     */
    public static final SwimSettings DEFAULT =
            new SwimSettings(500, 200, 3, 1200, 7000, 3, 200, 3, 4, 10_000, 2000, 600_000);
}
