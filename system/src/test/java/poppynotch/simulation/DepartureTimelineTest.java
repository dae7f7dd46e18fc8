package poppynotch.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.slf4j.LoggerFactory;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Guards against acknowledged drains and removals of servers that are forgotten when replicas
 * restart, in fixed sequences of faults. An edge that was out of contact at the acknowledgement
 * must respect it soon after it is in contact again.
 */
class DepartureTimelineTest {

    private static final long SEED = 5;

    /** All processes have started, and all replicas have a vote or know the value. */
    private static final long STABLE_MS = 6000;

    /** The edge's pending polls are answered before the server leaves. */
    private static final long FREEZE_MS = 8000;

    private static final long LEAVE_MS = 8700;
    private static final long ACKNOWLEDGED_MS = 8800;
    private static final long RESTART_MS = 9300;

    /** An edge respects the departure before it counts as in stable contact, after 3000 ms. */
    private static final long RESPECTED_MS = RESTART_MS + 1500;

    private static final String SERVER = "leaves";
    private static final String ADDRESS = "10.0.0.9:80";

    /** How a server announces that it leaves. */
    private enum Departure {
        DRAIN,
        REMOVAL
    }

    private SimulatedFleet fleet;
    private long sequence;

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    /** Starts a fleet, and freezes the edge of {@link #edge} while the server is registered. */
    private void startFleet(ClusterSize size) {
        fleet = new SimulatedFleet(SEED, size, SeededDefect.NONE, QuotaTraffic.none());
        fleet.operator().stop();
        fleet.start();
        for (long timeMs = STABLE_MS; timeMs < FREEZE_MS; timeMs += 900) {
            fleet.time().runUntil(timeMs);
            register(0, SERVER, ServerState.READY);
        }
        fleet.time().runUntil(FREEZE_MS);
        assertThat(readyIds(edge())).contains(SERVER);
        edge().freeze();
        fleet.time().runUntil(LEAVE_MS);
    }

    private VirtualEdge edge() {
        return fleet.edges().get(0);
    }

    private VirtualControlPlane replica(int number) {
        return fleet.replica("core" + number + ":1").orElseThrow();
    }

    private void register(int replica, String id, ServerState state) {
        register(replica, id, state, new AtomicBoolean());
    }

    private void register(int replica, String id, ServerState state, AtomicBoolean acknowledged) {
        sequence++;
        ServerRecord record =
                new ServerRecord(id, VirtualRollouts.BACKEND, ADDRESS, "z", 4, state, sequence, "");
        VirtualControlPlane called = replica(replica);
        called.run(() -> called.node().register(record, acknowledged::set));
    }

    private void leave(int replica, String id, Departure departure) {
        AtomicBoolean acknowledged = new AtomicBoolean();
        VirtualControlPlane called = replica(replica);
        if (departure == Departure.DRAIN) {
            register(replica, id, ServerState.DRAINING, acknowledged);
        } else {
            called.run(() -> called.node().deregister(id, acknowledged::set));
        }
        fleet.time().runUntil(fleet.time().getAsLong() + ACKNOWLEDGED_MS - LEAVE_MS);
        assertWithMessage("acknowledged").that(acknowledged.get()).isTrue();
    }

    private void killAll() {
        fleet.replicas().forEach(VirtualControlPlane::kill);
    }

    private void startAll() {
        fleet.replicas().forEach(VirtualControlPlane::start);
    }

    /** Kills all replicas, resumes the edge and starts the replicas again. */
    private void restartAll() {
        killAll();
        edge().resume();
        fleet.time().runUntil(RESTART_MS);
        startAll();
    }

    private static List<String> readyIds(VirtualEdge edge) {
        return edge.servers().stream()
                .filter(server -> server.state() == ServerState.READY)
                .map(ServerRecord::id)
                .toList();
    }

    private void assertRespectedAt(long timeMs) {
        fleet.time().runUntil(timeMs);
        assertWithMessage("servers of the edge").that(readyIds(edge())).doesNotContain(SERVER);
    }

    private void checkKillOfAllReplicas(ClusterSize size, Departure departure) {
        startFleet(size);
        leave(0, SERVER, departure);
        restartAll();
        assertRespectedAt(RESPECTED_MS);
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void departureSurvivesKillOfAllReplicas(Departure departure) {
        checkKillOfAllReplicas(ClusterSize.THREE, departure);
        checkKillOfAllReplicas(ClusterSize.FOUR, departure);
        checkKillOfAllReplicas(ClusterSize.FIVE, departure);
        checkKillOfAllReplicas(ClusterSize.EIGHT, departure);
    }

    /** The replica that acknowledged the departure loses its disk, all others lose power. */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void departureSurvivesLossOfDisks(Departure departure) {
        startFleet(ClusterSize.FIVE);
        leave(0, SERVER, departure);
        killAll();
        replica(0).disk().wipe();
        replica(1).disk().wipe();
        edge().resume();
        fleet.time().runUntil(RESTART_MS);
        startAll();
        assertRespectedAt(RESPECTED_MS);
    }

    /** Each replica is restarted before it can have fetched the registries of the others. */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void departureSurvivesRestartsInQuickSuccession(Departure departure) {
        startFleet(ClusterSize.THREE);
        leave(0, SERVER, departure);
        for (int round = 0; round < 3; round++) {
            for (VirtualControlPlane replica : fleet.replicas()) {
                replica.kill();
                replica.start();
                fleet.time().runUntil(fleet.time().getAsLong() + 10);
            }
        }
        edge().resume();
        assertRespectedAt(fleet.time().getAsLong() + RESPECTED_MS - RESTART_MS);
    }

    /** The replicas return one by one; the last one has been down at the acknowledgement. */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void departureIsKnownWhereverReplicasReturnOneByOne(Departure departure) {
        startFleet(ClusterSize.THREE);
        replica(2).kill();
        leave(0, SERVER, departure);
        killAll();
        edge().resume();
        fleet.time().runUntil(RESTART_MS);
        replica(2).start();
        fleet.time().runUntil(RESTART_MS + 2000);
        replica(1).start();
        assertRespectedAt(RESTART_MS + 2000 + RESPECTED_MS - RESTART_MS);
        replica(0).start();
        assertRespectedAt(RESTART_MS + 6000);
    }

    /** A heartbeat that was sent before the removal arrives after the restart. */
    @Test
    void lateHeartbeatDoesNotBringServerBackAfterRestart() {
        startFleet(ClusterSize.THREE);
        replica(2).kill();
        leave(0, SERVER, Departure.REMOVAL);
        restartAll();
        fleet.time().runUntil(RESTART_MS + 1000);
        register(2, SERVER, ServerState.READY);
        assertRespectedAt(RESPECTED_MS);
        assertRespectedAt(RESTART_MS + 10_000);
    }

    /** The replica that acknowledges the removal has never listed the server. */
    @Test
    void removalOfUnknownServerSurvivesKillOfAllReplicas() {
        startFleet(ClusterSize.THREE);
        leave(1, "unknown", Departure.REMOVAL);
        killAll();
        fleet.time().runUntil(RESTART_MS);
        startAll();
        edge().resume();
        fleet.time().runUntil(RESTART_MS + 1000);
        register(2, "unknown", ServerState.READY);
        fleet.time().runUntil(RESTART_MS + 3000);
        assertThat(readyIds(edge())).doesNotContain("unknown");
    }

    @Test
    void anotherServerMayUseTheAddressAfterRestart() {
        startFleet(ClusterSize.THREE);
        leave(0, SERVER, Departure.REMOVAL);
        restartAll();
        fleet.time().runUntil(RESTART_MS + 1000);
        register(1, "successor", ServerState.READY);
        assertRespectedAt(RESPECTED_MS);
        assertThat(readyIds(edge())).contains("successor");
    }

    /** An edge that starts after the restart is notified as well. */
    @Test
    void restartedEdgeDoesNotUseDrainedServer() {
        startFleet(ClusterSize.FOUR);
        leave(0, SERVER, Departure.DRAIN);
        killAll();
        edge().kill();
        fleet.time().runUntil(RESTART_MS);
        startAll();
        edge().start();
        assertRespectedAt(RESPECTED_MS);
        assertRespectedAt(RESTART_MS + 10_000);
    }

    /** A drain that can't be stored by enough replicas is not acknowledged. */
    @Test
    void departureIsNotAcknowledgedWhileDisksAreFull() {
        startFleet(ClusterSize.THREE);
        replica(1).disk().setCondition(VirtualDisk.Condition.FULL);
        replica(2).disk().setCondition(VirtualDisk.Condition.STALLED);
        AtomicBoolean acknowledged = new AtomicBoolean();
        register(0, SERVER, ServerState.DRAINING, acknowledged);
        fleet.time().runUntil(LEAVE_MS + 2000);
        assertThat(acknowledged.get()).isFalse();
        replica(1).disk().setCondition(VirtualDisk.Condition.GOOD);
        register(0, SERVER, ServerState.DRAINING, acknowledged);
        fleet.time().runUntil(LEAVE_MS + 2100);
        assertThat(acknowledged.get()).isTrue();
    }
}
