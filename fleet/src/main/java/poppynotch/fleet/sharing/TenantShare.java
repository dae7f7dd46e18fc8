package poppynotch.fleet.sharing;

/**
 * One tenant's quota share at this process: the even share that the process owns, what of it is
 * lent, what is borrowed, and the demand that is measured here.
 *
 * <p>Owned by {@link QuotaShares} and confined to its thread. Rates are in calls a second.
 */
final class TenantShare {

    /**
     * Demand is measured over two time constants. Few calls a second arrive unevenly: the short
     * term rate is used only if it exceeds {@link #BURST_FACTOR} times the even share, which chance
     * alone seldom makes of few calls.
     */
    private static final double LONG_TERM_MS = 3000;

    private static final double SHORT_TERM_MS = 500;
    private static final double BURST_FACTOR = 1.5;

    /**
     * A lender reserves this fraction of its even share in any case, for the first calls after a
     * pause.
     */
    private static final double MIN_RESERVED_FRACTION = 0.1;

    final LoanBook lent = new LoanBook();
    final LoanBook borrowed = new LoanBook();
    private double evenShare;
    private double longTermRate;
    private double shortTermRate;
    private double lastUpdateMs;
    private int callsSinceUpdate;

    /** When this process may ask for loans of this tenant's quota again. */
    double nextRequestMs;

    TenantShare(double now) {
        lastUpdateMs = now;
    }

    void setEvenShare(double ratePerS) {
        evenShare = ratePerS;
    }

    double evenShare() {
        return evenShare;
    }

    void onCall() {
        callsSinceUpdate++;
    }

    double lastUpdateMs() {
        return lastUpdateMs;
    }

    /** Updates the demand by the calls since the last update, which must be before now. */
    void updateDemand(double now) {
        double elapsedMs = now - lastUpdateMs;
        double rate = callsSinceUpdate * 1000 / elapsedMs;
        longTermRate += Math.min(1, elapsedMs / LONG_TERM_MS) * (rate - longTermRate);
        shortTermRate += Math.min(1, elapsedMs / SHORT_TERM_MS) * (rate - shortTermRate);
        lastUpdateMs = now;
        callsSinceUpdate = 0;
    }

    /** The present demand, as far as it is known. */
    double demand() {
        return shortTermRate > BURST_FACTOR * evenShare
                ? Math.max(longTermRate, shortTermRate)
                : longTermRate;
    }

    /**
     * What a lender reserves: its demand, and the standard deviation that chance adds to it over
     * the long term.
     */
    double reserved() {
        double demand = demand();
        return Math.max(
                demand + Math.sqrt(demand * 1000 / LONG_TERM_MS),
                evenShare * MIN_RESERVED_FRACTION);
    }

    /** What is left of the even share, without what is lent. */
    double unlentShare(double now) {
        return Math.max(0, evenShare - lent.currentRate(now));
    }

    /** The rate that this process may use now. */
    double usableRate(double now) {
        return unlentShare(now) + borrowed.currentRate(now);
    }
}
