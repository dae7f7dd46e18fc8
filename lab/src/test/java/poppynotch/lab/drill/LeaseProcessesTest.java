package poppynotch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static poppynotch.lab.drill.Processes.awaitCondition;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.lab.drill.Processes.Part;

/** Real keepers and real sidecars that want a duty: who has it, and who has it next. */
@Timeout(300)
class LeaseProcessesTest {

    private static final String SERVER =
            "{\"id\":\"s1\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":"
                    + "\"m1\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}";

    @TempDir Path folder;

    private Processes processes;

    @BeforeEach
    void begin() {
        processes = new Processes(folder, Path.of(".."), 3);
    }

    @AfterEach
    void end() {
        processes.close();
    }

    private static Part serve(Part part, int preference) throws Exception {
        return part.startSidecar(
                "\"keepers\":"
                        + part.raftGroupJson()
                        + ",\"duties\":{\"reader\":"
                        + preference
                        + "}",
                SERVER);
    }

    /**
     * One has it; a word moves it; an end, in good order or not, passes it on; each time the token
     * grows.
     */
    @Test
    void passesLeaseOnWhenHolderMovesEndsOrDies() throws Exception {
        List<Part> keepers = processes.keepers();
        Part a = serve(processes.part("a"), 0);
        awaitCondition("a has it", a::holdsLease);
        final long first = a.leaseToken();
        Part b = serve(processes.part("b"), 1);
        awaitCondition(
                "b knows who has it",
                () -> b.leases().path("duties").path("reader").path("holder").asText().equals("a"));
        Part leader =
                keepers.stream()
                        .filter(keeper -> keeper.ask("duties").contains("\"leads\":true"))
                        .findFirst()
                        .orElseThrow();
        assertEquals("done", leader.ask("duty-move reader b"));
        awaitCondition("moved to b", b::holdsLease);
        assertTrue(b.leaseToken() > first);
        awaitCondition(
                "all is told to be well",
                () -> {
                    String well =
                            processes.runFleetCommand(
                                    "status", "--door", "127.0.0.1:" + b.adminPort);
                    return well.startsWith("0 ")
                            && well.contains("duty reader: this process")
                            && well.contains("nothing is wrong");
                });
        // The keepers' leader dies, and with it nothing: another leads, and the holder stays.
        leader.process.destroyForcibly().waitFor();
        awaitCondition(
                "another leads",
                () ->
                        keepers.stream()
                                .anyMatch(
                                        keeper ->
                                                keeper != leader
                                                        && keeper.ask("duties")
                                                                .contains("\"leads\":true")));
        assertTrue(b.holdsLease(), "the holder outlasts an election");
        awaitCondition("its death is told", () -> b.ask("members").contains("\"state\":\"dead\""));
        String ill = processes.runFleetCommand("status", "--door", "127.0.0.1:" + b.adminPort);
        assertTrue(
                ill.startsWith("3 ") && ill.contains("dead without a word: " + leader.name), ill);
        final long second = b.leaseToken();
        b.process.destroy();
        awaitCondition("passed on at the end of b", a::holdsLease);
        final long third = a.leaseToken();
        assertTrue(third > second);
        // The keeper is back with its own log.
        leader.startRaftServer();
        awaitCondition("it follows again", () -> leader.ask("duties").contains("\"holder\":\"a\""));
        serve(b, 1);
        awaitCondition("b is back", () -> b.ask("duties").startsWith("done "));
        a.process.destroyForcibly().waitFor();
        awaitCondition("passed on at the death of a", b::holdsLease);
        assertTrue(b.leaseToken() > third);
    }

    @Test
    void refusesToStartRaftServerWithoutItsLog() throws Exception {
        Part keeper = processes.part("k0");
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
