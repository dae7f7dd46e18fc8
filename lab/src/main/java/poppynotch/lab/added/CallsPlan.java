package poppynotch.lab.added;

import java.util.List;

/**
 * What is to be measured.
 *
 * @param rates calls a second, at the base number known
 * @param known numbers of servers that discovery tells of, at the base rate
 * @param fleets whether the sidecar takes part in a fleet; of two the second is measured at the
 *     base alone
 * @param members idle sidecars in the fleet beside the one that is measured
 * @param hops how many sidecars the chain has; 0 for no chain
 * @param blockSeconds how long calls go one way before they go the other
 * @param pairs how many times both ways are measured, 2 or more
 * @param starts how often a sidecar is started, for the figures of starts and first calls
 * @param knee whether the rate is doubled until it no longer holds
 * @param boundMs what the knee's added 99th percentile may be at most, in milliseconds
 * @param targetMs what more a call may take by the sidecar before it counts as slow, in
 *     milliseconds
 * @param replicas how many sidecars call the same servers, as the settings tell them
 */
public record CallsPlan(
        List<Double> rates,
        List<Integer> known,
        List<Boolean> fleets,
        int members,
        int hops,
        double blockSeconds,
        int pairs,
        int starts,
        boolean knee,
        double boundMs,
        double targetMs,
        int replicas,
        long seed) {

    /**
     * The size to design for has so many calls a second on each of its sidecars, and so many
     * servers.
     */
    private static final double PLANNED_RATE = 53;

    private static final int PLANNED_KNOWN = 430;
    private static final int MOST_KNOWN = 5000;
    private static final double MOST_RATE = 64_000;
    private static final int MOST_HOPS = 64;
    private static final int MOST_MEMBERS = 100;
    private static final double MOST_BLOCK_S = 600;

    /** Holds the bounds, and says in one line which one is not kept. */
    public CallsPlan {
        rates = List.copyOf(rates);
        known = List.copyOf(known);
        fleets = List.copyOf(fleets);
        require(
                !rates.isEmpty()
                        && rates.stream().allMatch(rate -> rate >= 1 && rate <= MOST_RATE)
                        && rates.stream().distinct().count() == rates.size(),
                "--rate must be 1 to 64,000 calls a second, each once");
        require(
                !known.isEmpty()
                        && known.stream().allMatch(n -> n >= 1 && n <= MOST_KNOWN)
                        && known.stream().distinct().count() == known.size(),
                "--known must be 1 to 5,000, each once");
        require(
                !fleets.isEmpty() && fleets.stream().distinct().count() == fleets.size(),
                "--fleet must be off, on or both, each once");
        require(members >= 0 && members <= MOST_MEMBERS, "--members must be 0 to 100");
        require(hops >= 0 && hops <= MOST_HOPS, "--hops must be 0 to 64");
        require(
                blockSeconds > 0 && blockSeconds <= MOST_BLOCK_S,
                "--block must be above 0 s, 600 s at most");
        require(pairs >= 2 && pairs <= 1000, "--pairs must be 2 to 1,000");
        require(starts >= 1 && starts <= 100, "--starts must be 1 to 100");
        require(boundMs > 0 && targetMs > 0, "--bound and --target must be above 0 ms");
        require(replicas >= 1, "--replicas must be 1 or more");
    }

    private static void require(boolean kept, String bound) {
        if (!kept) {
            throw new IllegalArgumentException(bound);
        }
    }

    /**
     * The rate at which all but rates is compared: the planned one if it is there, else the last.
     */
    double baseRate() {
        return rates.contains(PLANNED_RATE) ? PLANNED_RATE : rates.get(rates.size() - 1);
    }

    /** The number known at which all but numbers known is compared. */
    int baseKnown() {
        return known.contains(PLANNED_KNOWN) ? PLANNED_KNOWN : known.get(known.size() - 1);
    }

    /** What is measured with this number known, in turn. */
    List<Double> ratesAt(int number, boolean fleet) {
        return number == baseKnown() && fleet == fleets.get(0) ? rates : List.of(baseRate());
    }

    /** Which numbers known are measured, in turn. */
    List<Integer> knownWith(boolean fleet) {
        return fleet == fleets.get(0) ? known : List.of(baseKnown());
    }

    /** How long blocks are that only warm up. */
    double warmUpSeconds() {
        return Math.min(2, blockSeconds / 2);
    }

    /** How long blocks are that look for the knee. */
    double kneeSeconds() {
        return Math.min(1, blockSeconds);
    }
}
