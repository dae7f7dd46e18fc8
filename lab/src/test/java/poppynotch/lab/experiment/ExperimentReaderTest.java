package poppynotch.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a file may say, and what is said of one that is wrong. */
class ExperimentReaderTest {

    private static final String GOOD =
            """
            name: small
            duration: 5s
            world:
              sidecars: 2
              tiers:
                one: {nodos: 3, speed: 0.5..1.5}
              classes:
                read: {work: 20ms, aim: 500ms, deadline: 1s}
              clients: {rate: 50/s}
            troubles:
              - {kind: crash, at: 1s, for: 2s, part: 0.5, tier: one}
            """;

    @TempDir Path folder;

    private Experiment read(String text, String... changes) throws IOException, ExperimentErrors {
        Path file = Files.writeString(folder.resolve("e.yaml"), text);
        Map<String, String> set = new java.util.LinkedHashMap<>();
        for (int i = 0; i < changes.length; i += 2) {
            set.put(changes[i], changes[i + 1]);
        }
        return ExperimentReader.read("e.yaml", ExperimentReader.tree(file.toString(), set));
    }

    private List<String> faults(String text, String... changes) {
        return assertThrows(ExperimentErrors.class, () -> read(text, changes)).lines().stream()
                .map(line -> line.substring(line.indexOf(": ") + 2))
                .toList();
    }

    @Test
    void convertsFiguresToBaseUnits() throws Exception {
        Experiment e = read(GOOD);
        assertEquals(5000, e.durationMs());
        assertEquals(new Range(0.5, 1.5), e.world().tiers().get(0).speed());
        assertEquals(20, e.world().classes().get(0).workMs().mean());
        assertEquals(FaultInjection.Kind.CRASH, e.faults().get(0).kind());
        assertEquals(50, e.rate());
    }

    @Test
    void readsEveryShippedExperiment() throws Exception {
        for (String name : ExperimentReader.shipped()) {
            assertEquals(
                    name,
                    ExperimentReader.read(name, ExperimentReader.tree(name, Map.of())).name());
        }
    }

    @Test
    void appliesChangesToKeys() throws Exception {
        Experiment e =
                read(
                        GOOD,
                        "world.tiers.one.nodos",
                        "7",
                        "troubles[0].for",
                        "1s",
                        "seeds",
                        "[4, 5]");
        assertEquals(7, e.world().tiers().get(0).serverCount());
        assertEquals(1000, e.faults().get(0).durationMs());
        assertEquals(List.of(4L, 5L), e.seeds());
    }

    @Test
    void reportsUnknownKeyWithFullPath() {
        assertEquals(
                List.of("world.tiers.one.nodes is unknown"),
                faults(GOOD, "world.tiers.one.nodes", "3"));
    }

    @Test
    void reportsWrongUnitWithExpectedUnit() {
        assertEquals(
                List.of(
                        "world.classes.read.aim should be a time such as 250ms, 1.5s or 2m but is"
                                + " 500"),
                faults(GOOD, "world.classes.read.aim", "500"));
        assertEquals(
                List.of("world.clients.rate should be a rate such as 200/s but is 200ms"),
                faults(GOOD, "world.clients.rate", "200ms"));
    }

    @Test
    void reportsAllInvalidFiguresAtOnce() {
        List<String> faults =
                faults(
                        GOOD,
                        "world.tiers.one.nodos",
                        "0",
                        "world.classes.read.aim",
                        "2s",
                        "troubles[0].part",
                        "1.5",
                        "troubles[0].tier",
                        "two",
                        "duration",
                        "-1s");
        assertEquals(5, faults.size(), faults.toString());
        assertTrue(
                faults.contains("world.classes.read.aim is later than the deadline"),
                faults.toString());
        assertTrue(
                faults.contains("troubles[0].tier names no tier of this world: two"),
                faults.toString());
        assertTrue(
                faults.contains(
                        "world.tiers.one.nodos is out of bounds: 0 is not within 1 and 20000"),
                faults.toString());
    }

    @Test
    void reportsUnreadableOrMissingFileInOneLine() {
        assertEquals(1, faults("a: [").size());
        assertEquals(1, faults("").size());
        assertEquals(1, faults("- 1\n").size());
        assertTrue(
                assertThrows(
                                ExperimentErrors.class,
                                () -> ExperimentReader.tree("no-such", Map.of()))
                        .lines()
                        .get(0)
                        .startsWith("no-such: is no file and no experiment of the lab's own"));
    }

    @Test
    void readsTomlLikeYaml() throws Exception {
        Path file =
                Files.writeString(
                        folder.resolve("e.toml"),
                        """
                        name = "small"
                        [world]
                        clients = {load = 0.5}
                        [world.tiers.one]
                        nodos = 2
                        [world.classes.read]
                        work = "20ms"
                        aim = "500ms"
                        deadline = "1s"
                        """);
        Experiment e =
                ExperimentReader.read("e.toml", ExperimentReader.tree(file.toString(), Map.of()));
        // Two model servers of two cores each, 20 ms a request, half of what they can do.
        assertEquals(100, e.rate(), 1e-9);
    }
}
