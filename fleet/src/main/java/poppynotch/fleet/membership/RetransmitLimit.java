package poppynotch.fleet.membership;

/**
 * Limits how often each member transmits an update: a multiple of the logarithm of the fleet's
 * size, which suffices for gossip to reach the whole fleet (SWIM, section 4.1).
 */
public final class RetransmitLimit {

    /** Added to the fleet's size, so that the logarithm is at least 1. */
    private static final int SIZE_OFFSET = 9;

    private RetransmitLimit() {}

    /**
     * Returns the number of transmissions of one update by one member.
     *
     * @param multiplier factor of the decimal logarithm of the fleet's size
     * @param memberCount size of the fleet
     */
    public static int transmissions(double multiplier, int memberCount) {
        return (int) Math.ceil(multiplier * Math.log10(memberCount + SIZE_OFFSET));
    }
}
