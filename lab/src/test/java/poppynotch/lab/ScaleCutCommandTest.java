package poppynotch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import poppynotch.lab.report.ScaleResults;

/** The command, as whoever types it sees it. */
class ScaleCutCommandTest {

    @TempDir Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int cut(String... words) {
        CommandLine line = new CommandLine(new ScaleCutCommand());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler(Lab.commandLine().getExecutionExceptionHandler());
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(words);
    }

    @Test
    void aRunLeavesItsPageAndResults() throws Exception {
        assertEquals(
                0,
                cut(
                        "--size",
                        "20,30",
                        "--cut",
                        "30s",
                        "--part",
                        "hour,days",
                        "--threads",
                        "2",
                        "--out",
                        folder.toString(),
                        "--commit",
                        "abc1234"),
                err::toString);
        ScaleResults results = ScaleResults.read(folder);
        assertEquals("abc1234", results.commit());
        assertEquals(
                "lab scale cut --size 20,30 --cut 30s --part hour,days --threads 2 --out "
                        + folder
                        + " --commit abc1234",
                results.command());
        for (int size : new int[] {20, 30}) {
            assertEquals(
                    "B/s", results.find("idle.membership.bytes_out", size).orElseThrow().unit());
            assertTrue(results.find("region_cut.one_view", size).orElseThrow().value() > 0);
        }
        String page = Files.readString(folder.resolve("index.html"));
        assertTrue(
                page.contains("region_cut, 30 members: views on each side")
                        && page.contains("<svg"));
        assertTrue(out.toString().contains("4 of 4: "), out.toString());
    }

    @ParameterizedTest
    @CsvSource({
        "--size,7",
        "--size,'50,50'",
        "--cut,1d",
        "--cut,1s",
        "--threads,0",
        "--delay-regions,-1"
    })
    void badInputGetsOneLine(String option, String value) {
        assertEquals(Lab.USAGE_ERROR_STATUS, cut(option, value));
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(err.toString().startsWith("lab: "), err.toString());
    }

    @Test
    void helpHasExamples() {
        assertEquals(0, cut("--help"));
        assertTrue(
                out.toString().contains("Examples:") && out.toString().contains("--seeds-in one"));
    }
}
