package poppynotch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import poppynotch.lab.report.ScaleResults;

/** What runs measured becomes figures for the planned size, and bad input one line. */
class ScaleFitCommandTest {

    @TempDir Path folder;

    private final StringWriter said = new StringWriter();
    private final StringWriter complained = new StringWriter();

    private int run(String... args) {
        CommandLine line = new CommandLine(new ScaleFitCommand());
        line.setExecutionExceptionHandler(Lab.commandLine().getExecutionExceptionHandler());
        line.setOut(new PrintWriter(said, true));
        line.setErr(new PrintWriter(complained, true));
        return line.execute(args);
    }

    private Path measured(String name, ScaleResults results) throws Exception {
        Path file = folder.resolve(name);
        results.writeFile(file);
        return file;
    }

    private static ScaleResults fleet() {
        ScaleResults results = new ScaleResults("scale fleet", "abc1234-dirty");
        for (int size : List.of(100, 200, 400, 800)) {
            results.add("idle.sidecar.bytes_out", "B/s", size, 600 + size % 3 + 2.0 * size);
            results.add("idle.sidecar.level", "ms", size, 5 + (size / 100 % 2) * 0.1);
        }
        return results.add("idle.sidecar.twice", "B", 100, 1)
                .add("idle.sidecar.twice", "B", 200, 2)
                .add("any.other.thing_0", "count", 0, 12);
    }

    @Test
    void figuresAreWorkedOutForThePlannedSizeAndBeyond() throws Exception {
        Path file = measured("fleet.json", fleet());
        Path calls =
                measured("calls.json", new ScaleResults("scale calls", "d").add("a.b", "ms", 0, 1));
        Path out = folder.resolve("new/worked.json");
        assertEquals(
                0,
                run(
                        file.toString(),
                        calls.toString(),
                        "--out",
                        out.toString(),
                        "--plan",
                        "430",
                        "--beyond",
                        "860,4300"),
                complained.toString());
        ScaleResults worked = ScaleResults.read(out);
        assertEquals(6, worked.figures().size());
        ScaleResults.Figure ten = worked.find("idle.sidecar.bytes_out", 4300).orElseThrow();
        assertEquals(ScaleResults.EXTRAPOLATED, ten.kind());
        assertEquals("B/s", ten.unit());
        assertEquals(600 + 2 * 4300, ten.value(), 30);
        assertTrue(ten.low() < ten.value() && ten.value() < ten.high());
        assertEquals("a + b*size", ten.fit().model());
        assertEquals("rising", ten.fit().trend());
        assertTrue(ten.fit().slopeLow() <= 2 && 2 <= ten.fit().slopeHigh(), ten.fit().toString());
        assertEquals(List.of(100, 200, 400, 800), ten.fit().sizes());
        assertEquals("scale fleet", ten.fit().command());
        assertEquals("abc1234-dirty", ten.fit().commit());
        assertEquals("level", worked.find("idle.sidecar.level", 430).orElseThrow().fit().trend());
        assertTrue(worked.find("idle.sidecar.twice", 430).isEmpty(), "two sizes are too few");
        assertTrue(
                worked.command().startsWith("scale fit ")
                        && worked.command().endsWith("--plan 430 --beyond 860,4300"),
                worked.command());
        assertTrue(
                said.toString().contains("idle.sidecar.level")
                        && said.toString().contains("level"));
        // What was worked out is not fitted again.
        assertEquals(2, run(out.toString(), "--out", folder.resolve("again.json").toString()));
    }

    @Test
    void badInputIsOneLineAndWritesNothing() throws Exception {
        String fleet = measured("fleet.json", fleet()).toString();
        String other = measured("other.json", fleet()).toString();
        String none =
                measured("none.json", new ScaleResults("x", "y").add("a.b", "B", 100, 1))
                        .toString();
        String units =
                measured(
                                "units.json",
                                new ScaleResults("x", "y")
                                        .add("a.b", "B", 100, 1)
                                        .add("a.b", "B/s", 200, 1))
                        .toString();
        String broken = Files.writeString(folder.resolve("broken.json"), "{").toString();
        Path out = folder.resolve("worked.json");
        refused(out, "is not there", folder.resolve("absent.json").toString());
        refused(out, "holds no results of lab scale", broken);
        refused(out, "no key was measured at 3 sizes or more", none);
        refused(out, "comes in B and B/s", units);
        refused(out, "is in both", fleet, other);
        refused(out, "told twice", fleet, fleet);
        refused(out, "must be 1 or more", fleet, "--plan", "0");
        refused(folder, "is a folder", fleet);
        assertFalse(Files.exists(out));
    }

    private void refused(Path out, String why, String... args) {
        complained.getBuffer().setLength(0);
        String[] all =
                Stream.concat(Arrays.stream(args), Stream.of("--out", out.toString()))
                        .toArray(String[]::new);
        assertEquals(Lab.USAGE_ERROR_STATUS, run(all), complained.toString());
        assertTrue(complained.toString().contains(why), complained.toString());
        assertEquals(1, complained.toString().lines().count(), complained.toString());
    }

    @Test
    void theHelpHasExamples() {
        assertEquals(0, run("--help"));
        assertTrue(
                said.toString().contains("lab scale fit docs/capacity/fleet.json"),
                said.toString());
        assertTrue(said.toString().contains("95 %"), said.toString());
    }
}
