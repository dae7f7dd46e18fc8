package poppynotch.balancer;

import java.util.List;

/**
 * Keeps calls in the balancer's own zone unless it is more congested than others: slots of other
 * zones get a rank penalty, which grows with the usual demand and shrinks while responses of the
 * own zone are slower than those of others.
 */
final class LocalityRouting {

    /**
     * The rank penalty puts slots of other zones after this multiple of the own zone's slots that
     * the usual demand needs.
     */
    private static final double SPILL_MULTIPLE = 3;

    /**
     * Locality is cut while the pressure of the own zone exceeds that of other zones by this
     * multiple of the cost of crossing zones: then only the own zone is congested, slow or lost.
     */
    private static final double SPILL_MARGIN = 6;

    /** The factor that a cut applies to locality, once per refill interval. */
    private static final double LOCALITY_CUT = 0.7;

    /** The increase of locality in each refill interval without a cut. */
    private static final double LOCALITY_REGAIN = 0.02;

    /** Weight of a new outcome in a zone's pressure. */
    private static final double PRESSURE_GAIN = 1.0 / 16;

    private final CurrentSettings settings;
    private int readyInOwnZone;

    /** The fraction of the full rank penalty that is applied. */
    private double locality = 1;

    /** The recent pressure of the own zone and of all others, see {@link CongestionMonitor}. */
    private double ownZonePressure;

    private double otherZonesPressure;

    /** The amount added to the ranks of slots in other zones. */
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

    /** Records the pressure measured by an attempt at a server. */
    void recordPressure(TrackedServer server, double pressure) {
        if (isInOtherZone(server)) {
            otherZonesPressure += PRESSURE_GAIN * (pressure - otherZonesPressure);
        } else {
            ownZonePressure += PRESSURE_GAIN * (pressure - ownZonePressure);
        }
    }

    /** Updates locality after {@code elapsedFraction} of the averaging period of usual calls. */
    void update(double elapsedFraction, double usualCalls) {
        double margin = SPILL_MARGIN * settings.get().crossZoneCost();
        locality =
                ownZonePressure > otherZonesPressure + margin
                        ? locality * LOCALITY_CUT
                        : Math.min(1, locality + LOCALITY_REGAIN);
        // The pressure of other zones is measured only by calls sent there: without any it decays
        // to 0.
        otherZonesPressure *= 1 - elapsedFraction;
        rankPenalty =
                readyInOwnZone == 0
                        ? 0
                        : locality
                                * SPILL_MULTIPLE
                                * (usualCalls + 1)
                                * settings.get().balancers()
                                / readyInOwnZone;
    }

    /** The amount added to the ranks of a server's slots. */
    double rankPenalty(TrackedServer server) {
        return isInOtherZone(server) ? rankPenalty : 0;
    }
}
