package poppynotch.fleet.sharing;

/**
 * One tenant's quota share at this process: the even share that the process owns, the loans that it
 * granted and received, and the demand that it measures.
 *
 * <p>Owned by {@link QuotaShares} and confined to its thread. Rates are in calls a second.
 */
final class TenantShare {

    /**
     * Time constants over which demand is measured. At low rates calls arrive unevenly, so the
     * short term rate is used only if it exceeds {@link #BURST_FACTOR} times the even share, which
     * few calls seldom do by chance.
     */
    private static final double LONG_TERM_TIME_CONSTANT_MS = 3000;

    private static final double SHORT_TERM_TIME_CONSTANT_MS = 500;
    private static final double BURST_FACTOR = 1.5;

    /**
     * A lender always reserves at least this fraction of its even share, for the first calls after
     * an idle period.
     */
    private static final double MIN_RESERVED_FRACTION = 0.1;

    final QuotaLoans lent = new QuotaLoans();
    final QuotaLoans borrowed = new QuotaLoans();
    private double evenShare;
    private double longTermRate;
    private double shortTermRate;
    private double lastUpdateMs;
    private int callsSinceUpdate;

    /** When this process may next request loans of this tenant's quota. */
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

    /** Updates the demand by the calls since the last update, which must be earlier than now. */
    void updateDemand(double now) {
        double elapsedMs = now - lastUpdateMs;
        double rate = callsSinceUpdate * 1000 / elapsedMs;
        longTermRate += Math.min(1, elapsedMs / LONG_TERM_TIME_CONSTANT_MS) * (rate - longTermRate);
        shortTermRate +=
                Math.min(1, elapsedMs / SHORT_TERM_TIME_CONSTANT_MS) * (rate - shortTermRate);
        lastUpdateMs = now;
        callsSinceUpdate = 0;
    }

    /** The estimated current demand. */
    double demand() {
        return shortTermRate > BURST_FACTOR * evenShare
                ? Math.max(longTermRate, shortTermRate)
                : longTermRate;
    }

    /**
     * The rate that a lender reserves: its demand, plus the standard deviation of random arrivals
     * over the long term.
     */
    double reserved() {
        double demand = demand();
        return Math.max(
                demand + Math.sqrt(demand * 1000 / LONG_TERM_TIME_CONSTANT_MS),
                evenShare * MIN_RESERVED_FRACTION);
    }

    /** The part of the even share that is not lent. */
    double unlentShare(double now) {
        return Math.max(0, evenShare - lent.currentRate(now));
    }

    /** The rate that this process may use now. */
    double usableRate(double now) {
        return unlentShare(now) + borrowed.currentRate(now);
    }
}
