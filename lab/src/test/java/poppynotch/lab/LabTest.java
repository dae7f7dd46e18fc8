package poppynotch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command line: output, files written and exit status. */
class LabTest {

    @TempDir Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int lab(String... arguments) {
        CommandLine line = Lab.commandLine();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(arguments);
    }

    @Test
    void listsShippedExperiments() {
        assertEquals(0, lab("list"));
        assertTrue(
                out.toString()
                        .lines()
                        .anyMatch(line -> line.matches("zone-loss +A zone of nodos is lost.*")));
    }

    @Test
    void writesReportOfRunAndComparesTwoRuns() {
        String to = folder.resolve("a").toString();
        assertEquals(
                0,
                lab(
                        "run",
                        "calm",
                        "--set",
                        "duration=2s",
                        "--seed",
                        "1",
                        "--seed",
                        "2",
                        "--out",
                        to),
                err::toString);
        assertTrue(Files.exists(folder.resolve("a/report.html")));
        assertTrue(out.toString().contains("rules kept"), out.toString());
        assertEquals(
                0, lab("compare", to, to, "--out", folder.resolve("c").toString()), err::toString);
        assertTrue(Files.exists(folder.resolve("c/comparison.html")));
        // Without a terminal there is no progress line.
        assertEquals("", err.toString());
    }

    @Test
    void sweepPlaysEveryPoint() throws Exception {
        Path file =
                Files.writeString(
                        folder.resolve("e.yaml"),
                        """
                        name: e
                        extends: calm
                        duration: 1s
                        sweep:
                          world.clients.load: [0.2, 0.4]
                          world.sidecars: [1, 2]
                        """);
        assertEquals(0, lab("sweep", file.toString(), "--threads", "1"), err::toString);
        assertEquals(
                4,
                out.toString()
                        .lines()
                        .filter(line -> line.startsWith("e {world.clients.load="))
                        .count());
        assertTrue(out.toString().contains("MB live"), out.toString());
    }

    @Test
    void printsEachErrorOfFileOnOneLineAndExitsWithTwo() {
        assertEquals(
                2, lab("run", "calm", "--set", "world.tiers.front.nodes=3", "--set", "duration=5"));
        assertEquals(2, err.toString().lines().count(), err.toString());
        assertTrue(
                err.toString().lines().allMatch(line -> line.startsWith("calm: ")), err.toString());
    }

    @Test
    void printsOneLineAndExitsWithTwoWhenExperimentCannotBePlayed() {
        assertEquals(2, lab("run", "calm", "--policy", "magic"));
        assertEquals(2, lab("run", "calm", "--threads", "0"));
        assertEquals(2, lab("sweep", "calm"));
        assertEquals(2, lab("run", "calm", "--mode", "socket", "--policy", "random"));
        assertEquals(2, lab("compare", folder.toString(), folder.toString()));
        assertEquals(5, err.toString().lines().count(), err.toString());
        assertFalse(err.toString().contains("\tat "), err.toString());
    }

    @Test
    void printsUsageForUnknownCommandOrMissingArgument() {
        assertEquals(2, lab("fly"));
        assertEquals(2, lab("run"));
        assertTrue(err.toString().contains("Usage: lab"), err.toString());
    }

    @Test
    void helpHasExamplesAndExitCodes() {
        for (String command : new String[] {"run", "sweep", "compare"}) {
            assertEquals(0, lab(command, "--help"));
        }
        assertEquals(3, out.toString().lines().filter("Examples:"::equals).count());
        assertEquals(3, out.toString().lines().filter("Exit codes:"::equals).count());
    }
}
