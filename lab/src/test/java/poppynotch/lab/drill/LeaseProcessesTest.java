package poppynotch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static poppynotch.lab.drill.FleetProcesses.awaitCondition;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.lab.drill.FleetProcesses.ManagedProcess;

/** Real Raft servers, and real sidecars that compete for a lease. */
@Timeout(300)
class LeaseProcessesTest {

    private static final String SERVER =
            "{\"id\":\"s1\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":"
                    + "\"m1\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}";

    @TempDir Path folder;

    private FleetProcesses processes;

    @BeforeEach
    void begin() {
        processes = new FleetProcesses(folder, Path.of(".."), 3);
    }

    @AfterEach
    void end() {
        processes.close();
    }

    private static ManagedProcess startSidecar(ManagedProcess part, int preference)
            throws Exception {
        return part.startSidecar(
                "\"keepers\":"
                        + part.raftGroupJson()
                        + ",\"duties\":{\"reader\":"
                        + preference
                        + "}",
                SERVER);
    }

    private static void awaitLeaderOtherThan(
            ManagedProcess leader, List<ManagedProcess> raftServers) throws Exception {
        awaitCondition(
                "another leads",
                () ->
                        raftServers.stream()
                                .anyMatch(
                                        server ->
                                                server != leader
                                                        && server.askAdmin("duties")
                                                                .contains("\"leads\":true")));
    }

    /**
     * Operators move the lease; it is passed on when its holder ends or dies; it outlasts an
     * election of the Raft servers. The fencing token grows each time.
     */
    @Test
    void passesLeaseOnWhenHolderMovesEndsOrDies() throws Exception {
        List<ManagedProcess> raftServers = processes.startRaftServers();
        ManagedProcess a = startSidecar(processes.newProcess("a"), 0);
        awaitCondition("a holds the lease", a::holdsLease);
        final long firstToken = a.leaseToken();
        ManagedProcess b = startSidecar(processes.newProcess("b"), 1);
        awaitCondition(
                "b knows who has it",
                () -> b.leases().path("duties").path("reader").path("holder").asText().equals("a"));
        ManagedProcess leader =
                raftServers.stream()
                        .filter(server -> server.askAdmin("duties").contains("\"leads\":true"))
                        .findFirst()
                        .orElseThrow();
        assertEquals("done", leader.askAdmin("duty-move reader b"));
        awaitCondition("moved to b", b::holdsLease);
        assertTrue(b.leaseToken() > firstToken);
        awaitCondition(
                "the status is healthy",
                () -> {
                    String healthyStatus =
                            processes.runFleetCommand(
                                    "status", "--door", "127.0.0.1:" + b.adminPort);
                    return healthyStatus.startsWith("0 ")
                            && healthyStatus.contains("duty reader: this process")
                            && healthyStatus.contains("nothing is wrong");
                });
        // The leader of the Raft servers dies: another is elected, and the holder keeps its lease.
        leader.process.destroyForcibly().waitFor();
        awaitLeaderOtherThan(leader, raftServers);
        assertTrue(b.holdsLease(), "the holder outlasts an election");
        awaitCondition(
                "its death is detected",
                () -> b.askAdmin("members").contains("\"state\":\"dead\""));
        String statusAfterDeath =
                processes.runFleetCommand("status", "--door", "127.0.0.1:" + b.adminPort);
        assertTrue(
                statusAfterDeath.startsWith("3 ")
                        && statusAfterDeath.contains("dead without a word: " + leader.name),
                statusAfterDeath);
        final long secondToken = b.leaseToken();
        b.process.destroy();
        awaitCondition("passed on at the end of b", a::holdsLease);
        final long thirdToken = a.leaseToken();
        assertTrue(thirdToken > secondToken);
        // The killed Raft server restarts with its own log.
        leader.startRaftServer();
        awaitCondition(
                "it follows again", () -> leader.askAdmin("duties").contains("\"holder\":\"a\""));
        startSidecar(b, 1);
        awaitCondition("b is back", () -> b.askAdmin("duties").startsWith("done "));
        a.process.destroyForcibly().waitFor();
        awaitCondition("passed on at the death of a", b::holdsLease);
        assertTrue(b.leaseToken() > thirdToken);
    }

    @Test
    void refusesToStartRaftServerWithoutItsLog() throws Exception {
        ManagedProcess keeper = processes.newProcess("k0");
        keeper.startRaftServer();
        assertEquals(1, keeper.process.waitFor());
        assertTrue(keeper.log().contains("there is no log in "), keeper.log());
        assertEquals(1, keeper.log().lines().count(), keeper.log());
        Files.createDirectories(folder.resolve("log-k0"));
        Files.writeString(
                folder.resolve("log-k0").resolve("log.sqlite"),
                "no log, but long enough to be one");
        keeper.startRaftServer();
        assertEquals(1, keeper.process.waitFor());
        assertTrue(keeper.log().contains("the keeper's log cannot be read"), keeper.log());
    }
}
