package poppynotch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import poppynotch.lab.added.StandInSidecars;
import poppynotch.lab.report.ScaleResults;

/** What sidecars add to calls, with stand-ins in this process on real sockets. */
@Timeout(120)
class ScaleCallsCommandTest {

    private static final long DELAY_MS = 7;

    @TempDir Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int calls(StandInSidecars sidecars, String... words) {
        CommandLine line = new CommandLine(new ScaleCallsCommand(sidecars));
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler(Lab.commandLine().getExecutionExceptionHandler());
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(words);
    }

    private static double value(ScaleResults results, String key, int size) {
        return results.find(key, size)
                .orElseThrow(() -> new AssertionError(key + " is missing"))
                .value();
    }

    @Test
    void allCallsAreServedAndTheFiguresWritten() throws Exception {
        try (StandInSidecars sidecars = new StandInSidecars(DELAY_MS)) {
            assertEquals(
                    0,
                    calls(
                            sidecars,
                            "--rate",
                            "400,800",
                            "--known",
                            "3,7",
                            "--block",
                            "250ms",
                            "--pairs",
                            "2",
                            "--starts",
                            "2",
                            "--members",
                            "2",
                            "--hops",
                            "2",
                            "--no-knee",
                            "--commit",
                            "abc1234",
                            "--out",
                            folder.toString()),
                    () -> out + "\n" + err);
            assertEquals(0, sidecars.open());
            assertEquals(
                    Set.of(1, 3, 7),
                    sidecars.configs().stream()
                            .map(config -> config.at("/known/servers").size())
                            .collect(Collectors.toSet()));
            // Two members and two starts in a fleet, at the base alone.
            assertEquals(
                    4, sidecars.configs().stream().filter(config -> config.has("fleet")).count());
        }
        ScaleResults results = ScaleResults.read(folder);
        assertEquals("abc1234", results.commit());
        for (String phase :
                List.of(
                        "calls.rate400.known7.fleet_off",
                        "calls.rate800.known7.fleet_off",
                        "calls.rate800.known7.fleet_on")) {
            assertEquals(phase.contains("800") ? 400 : 200, value(results, phase + ".served", 7));
            assertEquals(0, value(results, phase + ".failed", 7));
            assertEquals(0, value(results, phase + ".refused", 7));
            // No timer ends early, so that this holds on however busy a machine.
            assertTrue(value(results, phase + ".by.p50", 7) >= DELAY_MS);
            assertTrue(results.find(phase + ".added.p99", 7).isPresent());
            assertFalse(results.find(phase + ".added.p999", 7).isPresent());
        }
        assertEquals(400, value(results, "calls.rate800.known3.fleet_off.served", 3));
        assertFalse(results.find("calls.rate400.known3.fleet_off.served", 3).isPresent());
        assertTrue(value(results, "chain.hops2.by.p50", 2) >= 2 * DELAY_MS);
        assertEquals(400, value(results, "chain.hops2.served", 2));
        assertTrue(results.find("calls.cold.first100.added.p50", 7).isPresent());
        assertEquals(2, results.find("start.known7.ready", 7).orElseThrow().n());
        assertTrue(results.find("start.known7.fleet_on.ready", 7).isPresent());
        // These stand-ins have no door, and the page must not pass them off as a fleet.
        assertEquals(0, value(results, "calls.known7.fleet_on.members", 7));
        assertTrue(out.toString().contains("the sidecar saw 0 members, and not 3"), out::toString);
        String page = Files.readString(folder.resolve("index.html"));
        assertTrue(page.contains("calls.rate800.known7.fleet_on"), page);
        assertTrue(page.contains("<svg"), page);
        assertTrue(
                out.toString().contains("no p999, as a block of 100 calls is too short for it"),
                out::toString);
    }

    @Test
    void whereNoRateHoldsThereIsNoKnee() throws Exception {
        try (StandInSidecars sidecars = new StandInSidecars(1)) {
            // No call comes back within a nanosecond more: not even the first rate holds.
            assertEquals(
                    0,
                    calls(
                            sidecars,
                            "--rate",
                            "400",
                            "--known",
                            "1",
                            "--block",
                            "250ms",
                            "--pairs",
                            "2",
                            "--starts",
                            "1",
                            "--fleet",
                            "off",
                            "--hops",
                            "0",
                            "--bound",
                            "0.000001ms",
                            "--out",
                            folder.toString()),
                    () -> out + "\n" + err);
        }
        assertTrue(
                out.toString()
                        .contains("knee: no rate holds: callers or the server do not hold it"),
                out::toString);
        assertFalse(
                ScaleResults.read(folder).find("calls.knee.known1.fleet_off.rate", 1).isPresent());
    }

    @Test
    void badInputIsOneLine() {
        try (StandInSidecars sidecars = new StandInSidecars(0)) {
            for (String[] bad :
                    new String[][] {
                        {"--rate", "0"},
                        {"--rate", "53,53"},
                        {"--known", "0"},
                        {"--pairs", "1"},
                        {"--hops", "-1"},
                        {"--members", "1000"},
                        {"--block", "0s"},
                        {"--replicas", "0"},
                        {"--starts", "0"},
                        {"--bound", "0ms"}
                    }) {
                err.getBuffer().setLength(0);
                assertEquals(2, calls(sidecars, bad[0], bad[1], "--out", folder.toString()));
                assertEquals(1, err.toString().lines().count(), err::toString);
                assertTrue(err.toString().contains(bad[0]), err::toString);
            }
            assertEquals(2, calls(sidecars, "--block", "soon", "--out", folder.toString()));
            assertTrue(err.toString().contains("should be a time such as"), err::toString);
            assertEquals(0, sidecars.configs().size());
        }
    }
}
