package poppynotch.balancer;

/**
 * Admission control: limits the calls in flight at once. The limit is learned from outcomes: it is
 * cut while answers take too much of their latency target, and else grows slowly. It follows the
 * capacity of the listed servers.
 */
final class ConcurrencyLimiter {

    /** The fraction of the limit that is reserved for calls of the highest value. */
    private static final double RESERVED_FRACTION = 0.2;

    /** Calls beyond their tenant's quota get this fraction of the limit. */
    private static final double BEYOND_QUOTA_FRACTION = 0.6;

    /**
     * For so long after a call within its quota was rejected, none beyond its quota is admitted.
     */
    private static final double QUOTA_FIRST_MS = 1000;

    /**
     * Where the limit is one or two calls, a flood would take it all again and again: a call beyond
     * its quota must fit with so much to spare.
     */
    private static final double BEYOND_QUOTA_MARGIN = 0.5;

    /**
     * Beyond a class's base time, answers should take this fraction of what the latency target
     * leaves, on average: the rest is for the slow ones among them, for the time until a cut shows,
     * and for bursts.
     */
    private static final double TARGET_PRESSURE = 0.2;

    /** The fraction of the target pressure that is left where the limit is small. */
    private static final double MIN_TARGET_FRACTION = 0.5;

    /** The limit from which all of the target pressure counts. */
    private static final double AMPLE_LIMIT = 3;

    /** Weight of a new outcome in the pressure. */
    private static final double PRESSURE_GAIN = 1.0 / 16;

    /** What a crowded balancer's limit is cut to. */
    private static final double CUT_FACTOR = 0.85;

    /** The limit grows so much faster while the pressure is below half of its target. */
    private static final double AMPLE_GROWTH = 2;

    /**
     * Calls a server, over all balancers, that the limit stays above: some must show when all is
     * well.
     */
    private static final double MIN_CALLS_PER_SERVER = 0.5;

    private final CurrentSettings settings;
    private final ServerTable servers;
    private final RequestClassTable requestClasses;
    private final InFlightCalls inFlight;
    private final UsableCapacity usableCapacity;

    /** Calls in flight at once, if all listed servers can be used. */
    private double limit;

    /** What outcomes took beyond the base time, as a fraction of the rest, on recent average. */
    private double pressure;

    /** When the limit was last cut: only calls sent after that show what the cut has done. */
    private double lastCutMs = Double.NEGATIVE_INFINITY;

    /** Below this limit it grows by a call with each answer while the pressure is low. */
    private double quickGrowthUntil;

    /** The capacity of the listed servers that the limit is for; 0 before the first list. */
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

    /** Calls in flight at once, if all listed servers can be used. */
    double limit() {
        return limit;
    }

    /** Calls in flight at once, for the servers that can be used. */
    double usableLimit() {
        return limit * usableCapacity.fraction();
    }

    /**
     * Whether the limit has room for a call. Lower tiers do not shed load: a call there carries
     * work done above.
     */
    boolean admits(double nowMs, CallRecord call) {
        if (settings.get().tier() > 0) {
            return inFlight.count() < SlotPool.MAX_SLOTS;
        }
        double maxCalls = usableLimit() * admissibleFraction(call);
        if (!call.withinQuota) {
            return nowMs - lastRejectionInQuotaMs >= QUOTA_FIRST_MS
                    && inFlight.count() < maxCalls - BEYOND_QUOTA_MARGIN;
        }
        return maxCalls >= 1
                ? inFlight.count() < maxCalls
                : inFlight.count() == 0 && nowMs >= pacedUntilMs(maxCalls);
    }

    /** A call was not admitted. */
    void onRejected(double nowMs, CallRecord call) {
        if (call.withinQuota) {
            lastRejectionInQuotaMs = nowMs;
        }
    }

    /**
     * A limit below one call is a pace: so long a pause after the last call that on average no more
     * than that fraction of a call is in flight. Where balancers outnumber what servers can hold,
     * one each is too many.
     */
    private double pacedUntilMs(double maxCalls) {
        return lastEndMs + lastTookMs * (1 / maxCalls - 1);
    }

    /** The fraction of the limit that a call may use: the last of it is for calls of more value. */
    private double admissibleFraction(CallRecord call) {
        double relativeValue = call.requestClass.value() / requestClasses.maxValue();
        return (call.withinQuota ? 1 : BEYOND_QUOTA_FRACTION)
                * (1 - RESERVED_FRACTION * (1 - relativeValue));
    }

    void onAttemptEnd(double nowMs, double tookMs) {
        lastEndMs = nowMs;
        lastTookMs = tookMs;
    }

    /** Moves the limit by the pressure that the outcome of an attempt shows. */
    void recordPressure(double nowMs, double sentAtMs, double sample, boolean answered) {
        if (sentAtMs < lastCutMs) {
            // It shows what was before the cut, which has been answered for by that.
            return;
        }
        // A balancer with few calls at once has few answers a second: each must then count more.
        pressure += Math.max(PRESSURE_GAIN, 1 / (2 + 2 * limit)) * (sample - pressure);
        if (pressure > targetPressure()) {
            cut(nowMs);
        } else if (answered && inFlight.count() * 2 >= usableLimit()) {
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
        boolean ample = pressure < targetPressure() / 2;
        double factor =
                ample && limit < quickGrowthUntil ? 1 : (ample ? AMPLE_GROWTH : 1) / usableLimit();
        double step = factor * callPerServer() / usableCapacity.fraction();
        limit = Math.min(SlotPool.MAX_SLOTS, limit + Math.min(limit, step));
    }

    /** The recent pressure. */
    double pressure() {
        return pressure;
    }

    /** Whether answers are slow: the pressure is above half of its target. */
    boolean isStrained() {
        return pressure > targetPressure() / 2;
    }

    /**
     * Where the limit is a call or two, answers are few and show late what a change has done, and
     * one call more is a large step: such balancers keep further from the edge.
     */
    private double targetPressure() {
        return TARGET_PRESSURE * Math.max(MIN_TARGET_FRACTION, Math.min(1, limit / AMPLE_LIMIT));
    }

    /**
     * This balancer's part of one call a server, at most one call. Balancers that all change their
     * limits at once thus move the fleet by one call a server and round of answers, however many
     * they are.
     */
    private double callPerServer() {
        return Math.min(1, (double) servers.ready().size() / settings.get().balancers());
    }

    /** Scales the limit with the capacity of the ready servers; sets it with the first list. */
    void onServersChanged() {
        double newCapacity = servers.readyCapacity();
        if (capacity == 0) {
            double initial =
                    InitialServerLoad.callsInFlight(settings.get())
                            * servers.ready().size()
                            / settings.get().balancers();
            limit = Math.min(SlotPool.MAX_SLOTS, Math.max(1, initial));
            quickGrowthUntil = limit;
            capacity = newCapacity;
        } else if (newCapacity > 0) {
            double scaled = limit * newCapacity / capacity;
            limit =
                    Math.min(
                            SlotPool.MAX_SLOTS,
                            Math.max(MIN_CALLS_PER_SERVER * callPerServer(), scaled));
            quickGrowthUntil *= newCapacity / capacity;
            capacity = newCapacity;
        }
    }
}
