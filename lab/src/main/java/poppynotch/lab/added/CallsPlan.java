package poppynotch.lab.added;

import java.util.List;

/**
 * The settings of a {@link CallsTrial}. Immutable.
 *
 * @param rates calls a second, at the base number known
 * @param known numbers of servers in discovery's list, at the base rate
 * @param fleets whether the sidecar takes part in a fleet; of two the second is measured at the
 *     base alone
 * @param members idle sidecars in the fleet beside the one that is measured
 * @param hops how many sidecars the chain has; 0 for no chain
 * @param blockSeconds duration of a block of calls that go one way
 * @param pairs number of blocks each way, 2 or more
 * @param starts how often a sidecar is started, for the figures of starts and first calls
 * @param knee whether the rate is doubled until it no longer holds
 * @param boundMs maximum of the 99th percentile added at a rate that holds, in milliseconds
 * @param targetMs a call that takes longer by the sidecar by more than this is slow, in
 *     milliseconds
 * @param replicas number of sidecars that call the same servers, by their settings
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

    /** Calls a second on each sidecar, at the size that the system is designed for. */
    private static final double PLANNED_RATE = 53;

    /** Servers at the size that the system is designed for. */
    private static final int PLANNED_KNOWN = 430;

    private static final int MAX_KNOWN = 5000;
    private static final double MAX_RATE = 64_000;
    private static final int MAX_HOPS = 64;
    private static final int MAX_MEMBERS = 100;
    private static final int MAX_PAIRS = 1000;
    private static final int MAX_STARTS = 100;
    private static final double MAX_BLOCK_S = 600;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException naming the option that is out of bounds
     */
    public CallsPlan {
        rates = List.copyOf(rates);
        known = List.copyOf(known);
        fleets = List.copyOf(fleets);
        require(
                isDistinct(rates) && rates.stream().allMatch(rate -> isWithin(rate, 1, MAX_RATE)),
                "--rate must be 1 to 64,000 calls a second, each once");
        require(
                isDistinct(known) && known.stream().allMatch(n -> isWithin(n, 1, MAX_KNOWN)),
                "--known must be 1 to 5,000, each once");
        require(isDistinct(fleets), "--fleet must be off, on or both, each once");
        require(isWithin(members, 0, MAX_MEMBERS), "--members must be 0 to 100");
        require(isWithin(hops, 0, MAX_HOPS), "--hops must be 0 to 64");
        require(
                blockSeconds > 0 && blockSeconds <= MAX_BLOCK_S,
                "--block must be above 0 s, 600 s at most");
        require(isWithin(pairs, 2, MAX_PAIRS), "--pairs must be 2 to 1,000");
        require(isWithin(starts, 1, MAX_STARTS), "--starts must be 1 to 100");
        require(boundMs > 0 && targetMs > 0, "--bound and --target must be above 0 ms");
        require(replicas >= 1, "--replicas must be 1 or more");
    }

    private static boolean isWithin(double value, double min, double max) {
        return value >= min && value <= max;
    }

    /** Whether there are values, each of them once. */
    private static boolean isDistinct(List<?> values) {
        return !values.isEmpty() && values.stream().distinct().count() == values.size();
    }

    private static void require(boolean isWithinBounds, String bound) {
        if (!isWithinBounds) {
            throw new IllegalArgumentException(bound);
        }
    }

    /**
     * The rate of all measurements that do not compare rates: the planned one if it is among the
     * rates, else the last.
     */
    double baseRate() {
        return rates.contains(PLANNED_RATE) ? PLANNED_RATE : rates.get(rates.size() - 1);
    }

    /** The number of servers of all measurements that do not compare these numbers. */
    int baseKnown() {
        return known.contains(PLANNED_KNOWN) ? PLANNED_KNOWN : known.get(known.size() - 1);
    }

    /** The rates to measure with this number of servers, in order. */
    List<Double> ratesAt(int number, boolean fleet) {
        return number == baseKnown() && fleet == fleets.get(0) ? rates : List.of(baseRate());
    }

    /** The numbers of servers to measure, in order. */
    List<Integer> knownWith(boolean fleet) {
        return fleet == fleets.get(0) ? known : List.of(baseKnown());
    }

    /** Duration of the blocks that only warm up. */
    double warmUpSeconds() {
        return Math.min(2, blockSeconds / 2);
    }

    /** Duration of the blocks of the search for the knee. */
    double kneeSeconds() {
        return Math.min(1, blockSeconds);
    }
}
