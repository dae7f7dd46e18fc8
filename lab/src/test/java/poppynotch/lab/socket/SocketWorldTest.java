package poppynotch.lab.socket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.ExperimentReader;
import poppynotch.lab.measure.Result;

/** A short day with real sidecar processes. */
@Timeout(120)
class SocketWorldTest {

    @TempDir Path folder;

    private Experiment experiment() throws Exception {
        Path file =
                Files.writeString(
                        folder.resolve("e.yaml"),
                        """
name: small
duration: 3s
mode: socket
world:
  zones: [a]
  sidecars: 1
  tiers:
    one: {nodos: 2, work: 0.5}
    two: {nodos: 2, work: 0.5}
  classes:
    read: {work: 10ms, aim: 1500ms, deadline: 3s}
    save: {work: 10ms, aim: 1500ms, deadline: 3s, effect: by-key, group: cell, window: 4s}
  clients: {rate: 40/s}
""");
        return ExperimentReader.read("e.yaml", ExperimentReader.tree(file.toString(), Map.of()));
    }

    private SocketWorld.Launch launch(String command) {
        return new SocketWorld.Launch(command, Path.of("").toAbsolutePath(), null);
    }

    /**
     * Requests go from clients through two tiers of sidecars to model servers and back, and each is
     * counted once.
     */
    @Test
    void countsEveryRequestOfDayOnSockets() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Result result =
                SocketWorld.play(
                        experiment(),
                        1,
                        Map.of(),
                        launch(
                                "exec "
                                        + java
                                        + " -XX:TieredStopAtLevel=1 -jar"
                                        + " ../sidecar/target/poppynotch-sidecar.jar serve"),
                        part -> {});
        Result.Totals totals = result.totals();
        assertTrue(totals.offered() > 50, totals.toString());
        assertEquals(
                totals.offered(),
                totals.inTime() + totals.late() + totals.refused() + totals.failed(),
                totals.toString());
        assertTrue(totals.inTime() > 0, totals.toString());
        assertTrue(totals.attempts() >= 2 * totals.inTime(), totals.toString());
        assertTrue(
                result.notes().stream().noneMatch(note -> note.contains("no caller sent")),
                result.notes().toString());
    }

    /** The day must not go on without a sidecar that never started. */
    @Test
    void failsDayWhenSidecarEndsAtStart() throws Exception {
        IOException failure =
                assertThrows(
                        IOException.class,
                        () ->
                                SocketWorld.play(
                                        experiment(), 1, Map.of(), launch("exit 3"), part -> {}));
        assertTrue(
                failure.getMessage().contains("ended by itself with status 3"),
                failure.getMessage());
    }
}
