package poppynotch.lab.world;

import java.util.ArrayList;
import java.util.List;

/**
 * Deals out requests among the sidecars of the clients' zone, and notices only late that one is
 * dead.
 */
final class FrontProxy {

    private final List<SidecarPort> ports = new ArrayList<>();
    private final List<Integer> zones = new ArrayList<>();
    private final List<Boolean> believedUp = new ArrayList<>();
    private final int[] turn;

    FrontProxy(int zoneCount) {
        turn = new int[zoneCount + 1];
    }

    void add(int zone) {
        ports.add(null);
        zones.add(zone);
        believedUp.add(false);
    }

    /** A sidecar has said that it is ready. */
    void admit(int place, SidecarPort port) {
        ports.set(place, port);
        believedUp.set(place, true);
    }

    /** A sidecar is known to be gone; one that took its place meanwhile stays. */
    void dismiss(int place, SidecarPort port) {
        if (ports.get(place) == port) {
            believedUp.set(place, false);
        }
    }

    /** The place of the sidecar whose turn it is, or -1 where none is left. */
    int pick(int zone) {
        int own = next(zone, zone);
        return own >= 0 ? own : next(-1, turn.length - 1);
    }

    private int next(int zone, int counter) {
        int n = ports.size();
        for (int i = 1; i <= n; i++) {
            int place = (turn[counter] + i) % n;
            if (believedUp.get(place) && (zone < 0 || zones.get(place) == zone)) {
                turn[counter] = place;
                return place;
            }
        }
        return -1;
    }

    SidecarPort port(int place) {
        return ports.get(place);
    }
}
