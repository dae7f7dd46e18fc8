package poppynotch.pool;

/**
 * One sidecar's share of the repeats that all may send to a service: a part of its own first sends,
 * and an even share of the slack, both held below the rule's bound. It is told the time.
 */
public final class RetryBudget {

    /** The part of the ratio, and of the slack, that is given out. */
    private static final double SAFE_PART = 0.6;

    private static final double LEAST_SAVINGS = 1;

    private final double ratio;
    private final double slack;
    private final double windowMs;
    private double balance;
    private double savings;
    private long lastMs = Long.MIN_VALUE;

    /** A budget for a deployment's ratio, slack and window. */
    public RetryBudget(double ratio, double slack, long windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMs = windowMs;
        place(1, true);
    }

    /** How many sidecars share the slack. */
    public void place(int sidecars, boolean first) {
        savings = Math.max(LEAST_SAVINGS, SAFE_PART / 2 * slack / Math.max(1, sidecars));
        balance = first ? LEAST_SAVINGS : Math.min(balance, savings);
    }

    /** A client's request is sent for the first time. */
    public void firstSend() {
        balance = Math.min(savings, balance + SAFE_PART * ratio);
    }

    /** Whether a request may be sent once more, which uses up what it takes. */
    public boolean trySpend(long nowMs) {
        if (lastMs != Long.MIN_VALUE) {
            balance = Math.min(savings, balance + savings * (nowMs - lastMs) / windowMs);
        }
        lastMs = nowMs;
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
