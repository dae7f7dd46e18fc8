package poppynotch.balancer;

/**
 * Admission control: limits the calls in flight. The limit adapts to outcomes: it is cut while
 * responses take too much of their latency target, and otherwise grows slowly. It scales with the
 * capacity of the ready servers.
 */
final class ConcurrencyLimiter {

    /** The fraction of the limit that is reserved for calls of the highest value. */
    private static final double RESERVED_FRACTION = 0.2;

    /** Calls beyond their tenant's quota may use this fraction of the limit. */
    private static final double BEYOND_QUOTA_FRACTION = 0.6;

    /** How long calls beyond their quota are rejected after one within its quota was rejected. */
    private static final double OVER_QUOTA_BLOCK_MS = 1000;

    /**
     * The additional room that a call beyond its quota needs: a flood of such calls would otherwise
     * keep a limit of one or two calls fully used.
     */
    private static final double BEYOND_QUOTA_MARGIN = 0.5;

    /**
     * The target of the pressure: the fraction of the time between the base latency and the latency
     * target that responses should take on average. The rest allows for slower responses, for the
     * delay until a cut takes effect, and for bursts.
     */
    private static final double TARGET_PRESSURE = 0.2;

    /** The lowest fraction of the target pressure, used at small limits. */
    private static final double MIN_TARGET_FRACTION = 0.5;

    /** The limit below which the target pressure is reduced. */
    private static final double SMALL_LIMIT = 3;

    /** Weight of a new outcome in the pressure. */
    private static final double PRESSURE_GAIN = 1.0 / 16;

    /** The factor that a cut applies to the limit. */
    private static final double CUT_FACTOR = 0.85;

    /** The limit grows faster by this factor while the pressure is below half of its target. */
    private static final double FAST_GROWTH = 2;

    /**
     * Lower bound of the limit, in calls per server over all balancers: a recovery of the servers
     * shows only in the outcomes of calls.
     */
    private static final double MIN_CALLS_PER_SERVER = 0.5;

    private final CurrentSettings settings;
    private final ServerTable servers;
    private final RequestClassTable requestClasses;
    private final InFlightCalls inFlight;
    private final UsableCapacity usableCapacity;

    /** The limit on calls in flight if all ready servers are usable. */
    private double limit;

    /** Moving average of the pressure of attempts, as measured by {@link CongestionMonitor}. */
    private double pressure;

    /** When the limit was last cut; only calls sent later show the effect of the cut. */
    private double lastCutMs = Double.NEGATIVE_INFINITY;

    /** Below this value the limit grows by up to one call per response at low pressure. */
    private double fastGrowthLimit;

    /** The capacity of the ready servers that the limit is scaled to; 0 before the first list. */
    private double capacity;

    /** When an attempt last ended, and how long it took. */
    private double lastEndMs;

    private double lastTookMs;

    /** When a call within its tenant's quota was last rejected by the limit. */
    private double lastRejectionInQuotaMs = Double.NEGATIVE_INFINITY;

    ConcurrencyLimiter(
            CurrentSettings settings,
            ServerTable servers,
            RequestClassTable requestClasses,
            InFlightCalls inFlight,
            UsableCapacity usableCapacity) {
        this.settings = settings;
        this.servers = servers;
        this.requestClasses = requestClasses;
        this.inFlight = inFlight;
        this.usableCapacity = usableCapacity;
    }

    /** The limit on calls in flight if all ready servers are usable. */
    double limit() {
        return limit;
    }

    /** The limit on calls in flight for the servers that are usable now. */
    double usableLimit() {
        return limit * usableCapacity.fraction();
    }

    /**
     * Whether the limit has room for a call. Lower tiers do not shed load, as upper tiers have
     * already spent work on their calls.
     */
    boolean admits(double nowMs, CallRecord call) {
        if (settings.get().tier() > 0) {
            return inFlight.count() < SlotPool.MAX_SLOTS;
        }
        double maxCalls = usableLimit() * admissibleFraction(call);
        if (!call.withinQuota) {
            return nowMs - lastRejectionInQuotaMs >= OVER_QUOTA_BLOCK_MS
                    && inFlight.count() < maxCalls - BEYOND_QUOTA_MARGIN;
        }
        return maxCalls >= 1
                ? inFlight.count() < maxCalls
                : inFlight.count() == 0 && nowMs >= pacedUntilMs(maxCalls);
    }

    /** Records that the limit has rejected a call. */
    void onRejected(double nowMs, CallRecord call) {
        if (call.withinQuota) {
            lastRejectionInQuotaMs = nowMs;
        }
    }

    /**
     * The time until which a limit below one call admits none: calls are paced so that {@code
     * maxCalls} calls are in flight on average. If there are more balancers than calls that the
     * servers can hold, one call each is too many.
     */
    private double pacedUntilMs(double maxCalls) {
        return lastEndMs + lastTookMs * (1 / maxCalls - 1);
    }

    /** The fraction of the limit that a call may use; the rest is for calls of higher value. */
    private double admissibleFraction(CallRecord call) {
        double relativeValue = call.requestClass.value() / requestClasses.maxValue();
        return (call.withinQuota ? 1 : BEYOND_QUOTA_FRACTION)
                * (1 - RESERVED_FRACTION * (1 - relativeValue));
    }

    void onAttemptEnd(double nowMs, double tookMs) {
        lastEndMs = nowMs;
        lastTookMs = tookMs;
    }

    /** Adjusts the limit to the pressure measured by an attempt. */
    void recordPressure(double nowMs, double sentAtMs, double sample, boolean succeeded) {
        if (sentAtMs < lastCutMs) {
            // The call was sent before the last cut, so it does not show the effect of the cut.
            return;
        }
        // A balancer with few calls in flight gets few responses: each must have a higher weight.
        pressure += Math.max(PRESSURE_GAIN, 1 / (2 + 2 * limit)) * (sample - pressure);
        if (pressure > targetPressure()) {
            cut(nowMs);
        } else if (succeeded && inFlight.count() * 2 >= usableLimit()) {
            grow();
        }
    }

    private void cut(double nowMs) {
        double inUse = (inFlight.peak() + 1) / usableCapacity.fraction();
        limit =
                Math.max(
                        MIN_CALLS_PER_SERVER * callPerServer(),
                        Math.min(limit, inUse) * CUT_FACTOR);
        lastCutMs = nowMs;
        pressure = targetPressure() / 2;
    }

    private void grow() {
        boolean isLow = pressure < targetPressure() / 2;
        double factor =
                isLow && limit < fastGrowthLimit ? 1 : (isLow ? FAST_GROWTH : 1) / usableLimit();
        double step = factor * callPerServer() / usableCapacity.fraction();
        limit = Math.min(SlotPool.MAX_SLOTS, limit + Math.min(limit, step));
    }

    /** The recent pressure. */
    double pressure() {
        return pressure;
    }

    /** Whether responses are slow: the pressure is above half of its target. */
    boolean isStrained() {
        return pressure > targetPressure() / 2;
    }

    /**
     * Small limits have a lower target: with few responses the effect of a change shows late, and
     * one more call is a large step.
     */
    private double targetPressure() {
        return TARGET_PRESSURE * Math.max(MIN_TARGET_FRACTION, Math.min(1, limit / SMALL_LIMIT));
    }

    /**
     * This balancer's part of one call per server, at most one call. However many balancers change
     * their limits at once, the load changes by only one call per server and round of responses.
     */
    private double callPerServer() {
        return Math.min(1, (double) servers.ready().size() / settings.get().balancers());
    }

    /** Scales the limit with the capacity of the ready servers, or sets it on the first list. */
    void onServersChanged() {
        double newCapacity = servers.readyCapacity();
        if (capacity == 0) {
            double initial =
                    InitialServerLoad.callsInFlight(settings.get())
                            * servers.ready().size()
                            / settings.get().balancers();
            limit = Math.min(SlotPool.MAX_SLOTS, Math.max(1, initial));
            fastGrowthLimit = limit;
            capacity = newCapacity;
        } else if (newCapacity > 0) {
            double scaled = limit * newCapacity / capacity;
            limit =
                    Math.min(
                            SlotPool.MAX_SLOTS,
                            Math.max(MIN_CALLS_PER_SERVER * callPerServer(), scaled));
            fastGrowthLimit *= newCapacity / capacity;
            capacity = newCapacity;
        }
    }
}
