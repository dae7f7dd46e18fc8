package poppynotch.balancer;

import java.util.List;

/**
 * Keeps calls in the balancer's own zone while that is not more crowded than others: slots of other
 * zones are put back in the order. The distance grows with the usual demand, and shrinks while the
 * own zone's answers are slower than those of others.
 */
final class LocalityRouting {

    /**
     * Other zones' slots come after as many of the own zone's as this multiple of the usual calls
     * need.
     */
    private static final double SPILL_MULTIPLE = 3;

    /**
     * Locality gives way while the own zone's answers take more of the latency target than other
     * zones' by this multiple of what crossing zones costs: then the own zone is crowded, slow or
     * lost, and others are not.
     */
    private static final double SPILL_MARGIN = 6;

    /** What is left of locality after a refill interval in which it gave way. */
    private static final double LOCALITY_CUT = 0.7;

    /** What it regains in each other refill interval. */
    private static final double LOCALITY_REGAIN = 0.02;

    /** Weight of a new outcome in a zone's crowding. */
    private static final double CROWDING_GAIN = 1.0 / 16;

    private final CurrentSettings settings;
    private int readyInOwnZone;

    /** The fraction of its full reach that locality has. */
    private double locality = 1;

    /** How crowded the own zone and all others were of late. */
    private double ownCrowding;

    private double otherCrowding;

    /** How far other zones' slots are put back. */
    private double rankPenalty;

    LocalityRouting(CurrentSettings settings) {
        this.settings = settings;
    }

    boolean isInOtherZone(TrackedServer server) {
        return server.entry.zone() != settings.get().ownZone();
    }

    void useServers(List<TrackedServer> ready) {
        readyInOwnZone = (int) ready.stream().filter(server -> !isInOtherZone(server)).count();
    }

    /**
     * Takes in what an attempt at a server took beyond its base time, as a fraction of the rest.
     */
    void recordPressure(TrackedServer server, double pressure) {
        if (isInOtherZone(server)) {
            otherCrowding += CROWDING_GAIN * (pressure - otherCrowding);
        } else {
            ownCrowding += CROWDING_GAIN * (pressure - ownCrowding);
        }
    }

    /** Moves locality by a refill interval, which is {@code elapsedFraction} of the memory. */
    void update(double elapsedFraction, double usualCalls) {
        double margin = SPILL_MARGIN * settings.get().crossZoneCost();
        locality =
                ownCrowding > otherCrowding + margin
                        ? locality * LOCALITY_CUT
                        : Math.min(1, locality + LOCALITY_REGAIN);
        // What other zones are like is known only from calls sent there: what is old fades to the
        // best.
        otherCrowding *= 1 - elapsedFraction;
        rankPenalty =
                readyInOwnZone == 0
                        ? 0
                        : locality
                                * SPILL_MULTIPLE
                                * (usualCalls + 1)
                                * settings.get().balancers()
                                / readyInOwnZone;
    }

    /** What is added to the rank of a server's slots. */
    double rankPenalty(TrackedServer server) {
        return isInOtherZone(server) ? rankPenalty : 0;
    }
}
