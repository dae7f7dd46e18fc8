package poppynotch.lab.world;

import java.util.ArrayList;
import java.util.List;

/**
 * Deals out requests among the sidecars of the clients' zone, and notices only late that one is
 * dead.
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

    /** A sidecar has said that it is ready. */
    void admit(int place, SidecarPort port) {
        sidecars.set(place, port);
        believedUp.set(place, true);
    }

    /** A sidecar is known to be gone; one that took its place meanwhile stays. */
    void dismiss(int place, SidecarPort port) {
        if (sidecars.get(place) == port) {
            believedUp.set(place, false);
        }
    }

    /** The place of the sidecar whose turn it is, or -1 where none is left. */
    int pick(int zone) {
        int own = next(zone, zone);
        return own >= 0 ? own : next(-1, lastPickedByZone.length - 1);
    }

    private int next(int zone, int counter) {
        int n = sidecars.size();
        for (int i = 1; i <= n; i++) {
            int place = (lastPickedByZone[counter] + i) % n;
            if (believedUp.get(place) && (zone < 0 || zones.get(place) == zone)) {
                lastPickedByZone[counter] = place;
                return place;
            }
        }
        return -1;
    }

    SidecarPort sidecar(int place) {
        return sidecars.get(place);
    }
}
