package poppynotch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.lab.virtual.VirtualClock;

/** Regions, zones and racks of the virtual network. */
class FailureDomainsTest {

    /** m0 and m5 are in z1, m1 in z2 of the same region, m3 in z4 of the other. */
    private static final FailureDomains PLANNED =
            FailureDomains.planned(240, FailureDomains.Delays.DEFAULT);

    private static VirtualNetwork net(FailureDomains places) {
        return new VirtualNetwork(new SplittableRandom(1), 0, places);
    }

    @Test
    void addressesEncodePositions() {
        assertEquals("127.11.0.1:7000", PLANNED.address(0));
        assertEquals("127.15.0.1:7000", PLANNED.address(4));
        assertEquals("127.11.0.24:7000", PLANNED.address(5 * 23));
        assertEquals("127.11.1.1:7000", PLANNED.address(5 * 24));
        assertEquals(48, PLANNED.in("z1").size());
        assertEquals(144, PLANNED.in("r1").size());
        assertEquals(96, PLANNED.in("r2").size());
        assertEquals(24, PLANNED.in("z4/1").size());
        assertThrows(IllegalArgumentException.class, () -> PLANNED.in("z6"));
        assertThrows(IllegalArgumentException.class, () -> new FailureDomains.Delays(-1, 0, 0));
    }

    private static void within(double ms, int from, int to, boolean whole) {
        VirtualNetwork net = net(PLANNED);
        for (int i = 0; i < 1000; i++) {
            double[] ways = net.deliveryDelaysMs(from, to, whole);
            assertEquals(1, ways.length);
            assertTrue(
                    ways[0] >= ms && ways[0] <= ms * 1.2 + 1e-9,
                    from + " to " + to + ": " + ways[0]);
        }
    }

    @Test
    void delaysFollowPositions() {
        within(0.1, 0, 5, false);
        within(0.5, 0, 1, false);
        within(30, 0, 3, false);
        within(30, 3, 0, false);
        // A handshake there and back before what it carries.
        within(90, 0, 3, true);
    }

    @Test
    void regionPartitionIsDirectedAndEnds() {
        VirtualNetwork net = net(PLANNED);
        net.setPartitioned("r1", "r2", true);
        assertEquals(0, net.deliveryDelaysMs(0, 3, false).length);
        assertEquals(1, net.deliveryDelaysMs(3, 0, false).length);
        assertEquals(1, net.deliveryDelaysMs(0, 1, false).length);
        assertEquals(1, net.deliveryDelaysMs(3, 4, false).length);
        // A connection needs the way back.
        assertEquals(0, net.deliveryDelaysMs(0, 3, true).length);
        assertEquals(0, net.deliveryDelaysMs(3, 0, true).length);
        net.setPartitioned("r1", "r2", false);
        assertEquals(1, net.deliveryDelaysMs(0, 3, false).length);
        assertEquals(1, net.deliveryDelaysMs(3, 0, true).length);
        assertThrows(IllegalArgumentException.class, () -> net.setPartitioned("r1", "r3", true));
    }

    /** As before there were places, draw for draw: 0.1 ms, and up to 5 more. */
    @Test
    void delaysAreUniformWithoutPositions() {
        VirtualNetwork net = net(FailureDomains.NONE);
        SplittableRandom drawn = new SplittableRandom(1);
        for (int i = 0; i < 100; i++) {
            drawn.nextDouble();
            assertArrayEquals(
                    new double[] {0.1 + drawn.nextDouble() * 5},
                    net.deliveryDelaysMs(i, i + 1, false));
        }
        assertArrayEquals(
                new double[] {(0.1 + drawn.nextDouble() * 5) * 3},
                net.deliveryDelaysMs(0, 1, true));
        VirtualFleet fleet =
                new VirtualFleet(
                        new FleetPlan(5, 1, 0, 2, 0, List.of()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {});
        assertEquals("10.0.0.4:7000", fleet.nodes().get(4).address);
        assertEquals("z1", fleet.nodes().get(4).profile.zone());
    }

    @Test
    void countsCrossRegionTrafficSeparately() {
        VirtualFleet fleet =
                new VirtualFleet(
                        new FleetPlan(10, 1, 0, 5, 0, List.of()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        node -> PiggybackPayload.NONE,
                        new VirtualClock(),
                        FailureDomains.planned(10, FailureDomains.Delays.DEFAULT));
        fleet.runUntil(60_000);
        assertTrue(fleet.hasConverged());
        long out = fleet.nodes().stream().mapToLong(node -> node.traffic.bytesOut).sum();
        long in = fleet.nodes().stream().mapToLong(node -> node.traffic.bytesIn).sum();
        long far = fleet.nodes().stream().mapToLong(node -> node.traffic.crossRegionBytesOut).sum();
        assertEquals(fleet.bytesSent(), out);
        assertTrue(in <= out && in > out * 0.99, in + " of " + out);
        assertTrue(far > out * 0.2 && far < out * 0.8, far + " of " + out);
        fleet.setRegionPartitioned("r1", "r2", true);
        fleet.setRegionPartitioned("r2", "r1", true);
        fleet.runUntil(90_000);
        assertFalse(fleet.hasConverged());
        assertTrue(fleet.hasConverged(node -> node.number % 5 < 3), "one view on the larger side");
        assertTrue(
                fleet.hasConverged(node -> node.number % 5 >= 3), "one view on the smaller side");
    }
}
