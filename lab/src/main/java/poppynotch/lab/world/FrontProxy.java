package poppynotch.lab.world;

import java.util.ArrayList;
import java.util.List;

/**
 * Simulated load balancer in front of the first tier's sidecars: round robin within the client's
 * zone, or over all zones if none is left there. It notices late that a sidecar is dead.
 *
 * <p>Owned by {@link SimulatedDay}; runs on the day's thread.
 */
final class FrontProxy {

    private final List<SidecarPort> sidecars = new ArrayList<>();
    private final List<Integer> zones = new ArrayList<>();
    private final List<Boolean> believedUp = new ArrayList<>();
    private final int[] lastPickedByZone;

    FrontProxy(int zoneCount) {
        lastPickedByZone = new int[zoneCount + 1];
    }

    void add(int zone) {
        sidecars.add(null);
        zones.add(zone);
        believedUp.add(false);
    }

    /** A sidecar is ready. */
    void admit(int position, SidecarPort port) {
        sidecars.set(position, port);
        believedUp.set(position, true);
    }

    /** A sidecar is known to be gone; one that replaced it meanwhile stays. */
    void dismiss(int position, SidecarPort port) {
        if (sidecars.get(position) == port) {
            believedUp.set(position, false);
        }
    }

    /** The position of the next sidecar for a client's zone, or -1 if none is left. */
    int pick(int zone) {
        int own = next(zone, zone);
        return own >= 0 ? own : next(-1, lastPickedByZone.length - 1);
    }

    private int next(int zone, int counter) {
        int n = sidecars.size();
        for (int i = 1; i <= n; i++) {
            int position = (lastPickedByZone[counter] + i) % n;
            if (believedUp.get(position) && (zone < 0 || zones.get(position) == zone)) {
                lastPickedByZone[counter] = position;
                return position;
            }
        }
        return -1;
    }

    SidecarPort sidecar(int position) {
        return sidecars.get(position);
    }
}
