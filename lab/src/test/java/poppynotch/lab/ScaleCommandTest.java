package poppynotch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import poppynotch.lab.report.ScaleFleetReport;
import poppynotch.lab.report.ScaleResults;

/** What lab scale refuses, and how two of its runs compare. */
class ScaleCommandTest {

    @TempDir Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int lab(String... words) {
        CommandLine line = Lab.commandLine();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(err));
        return line.execute(words);
    }

    private Path run(String name, double bytes, int size) throws IOException {
        ScaleResults results = new ScaleResults("scale fleet --out " + name, "abc1234");
        results.add("idle.sidecar.bytes_out", "B/s", size, bytes, bytes - 10, bytes + 10, 54);
        results.add("start.fleet.one_view", "s", size, 4.5);
        results.write(folder.resolve(name));
        ScaleFleetReport.write(folder.resolve(name), results, List.of("size 7 was <not> played"));
        return folder.resolve(name);
    }

    private void refused(String why, String... words) {
        err.getBuffer().setLength(0);
        assertEquals(2, lab(words));
        assertTrue(err.toString().lines().findFirst().orElse("").contains(why), err::toString);
    }

    @Test
    void whatTheMachineMustNotBeAskedForIsRefusedInOneLineAndNothingStarts() {
        String to = folder.resolve("x").toString();
        refused("--size must be from 5", "scale", "fleet", "--size", "4", "--out", to);
        refused(
                "202 processes",
                "scale",
                "fleet",
                "--size",
                "189",
                "--per-process",
                "1",
                "--out",
                to);
        assertEquals(1, err.toString().lines().count());
        refused("under half of the machine's", "scale", "fleet", "--size", "54,20000", "--out", to);
        refused("--keepers must be 0, 3 or 5", "scale", "fleet", "--keepers", "2", "--out", to);
        refused("must be 1s or more", "scale", "fleet", "--idle", "250ms", "--out", to);
        refused("a time such as", "scale", "fleet", "--idle", "soon", "--out", to);
        refused("--phases", "scale", "fleet", "--phases", "start,tea", "--out", to);
        refused("--out", "scale", "fleet", "--size", "54");
        refused("Which of fleet", "scale");
        assertFalse(Files.exists(folder.resolve("x")));
    }

    @Test
    void twoRunsCompareWhereTheyHaveFiguresInCommon() throws IOException {
        Path before = run("a", 600, 54);
        Path after = run("b", 660, 54);
        String page = Files.readString(before.resolve("index.html"));
        assertTrue(
                page.contains("<svg")
                        && page.contains("idle.sidecar.bytes_out")
                        && page.contains("size 7 was &lt;not&gt; played"));
        assertEquals(
                0,
                lab(
                        "scale",
                        "compare",
                        before.toString(),
                        after.toString(),
                        "--out",
                        folder.resolve("c").toString()),
                err::toString);
        List<String> lines = out.toString().lines().toList();
        assertEquals(2, lines.size());
        assertTrue(
                lines.get(0)
                        .matches(
                                "idle.sidecar.bytes_out +54 +600 +660 +\\+60.00 B/s"
                                        + " \\(\\+10 %\\), apart"),
                lines.get(0));
        assertTrue(
                lines.get(1).matches("start.fleet.one_view +54 +4.50 +4.50 +0 s \\(\\+0 %\\)"),
                lines.get(1));
        assertTrue(Files.readString(folder.resolve("c/comparison.html")).contains("second: value"));
        refused(
                "no figure in common",
                "scale",
                "compare",
                before.toString(),
                run("d", 1, 108).toString());
        refused("is not there", "scale", "compare", before.toString(), folder.toString());
    }
}
