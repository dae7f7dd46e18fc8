package poppynotch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.lab.report.ScaleResults;

/** Correct pages are accepted, and each kind of error is reported with its line. */
class PageCheckerTest {

    private static final String BYTES =
            "[612 B/s](capacity/fleet.json \"idle.sidecar.bytes_out@430\")";

    @TempDir Path docs;

    @BeforeEach
    void writeResults() throws IOException {
        Path folder = Files.createDirectories(docs.resolve("capacity"));
        new ScaleResults("scale fleet", "abc1234")
                .add("idle.sidecar.bytes_out", "B/s", 430, 612.4, 590, 640, 430)
                .add("idle.sidecar.cpu", "core", 430, 0.0123)
                .add("idle.sidecar.heap", "MB", 430, 21.5)
                .add("idle.sidecar.entries", "count", 430, 12345)
                .add("change.sidecar.last", "s", 430, 4.25)
                .add("calls.sidecar.added_p99", "ms", 0, 0.4567)
                .add("idle.fleet.far", "part", 430, 0.485)
                .add("idle.sidecar.datagrams", "1/s", 430, 4.04)
                .writeFile(folder.resolve("fleet.json"));
        new ScaleResults("scale fit", "abc1234")
                .add(
                        new ScaleResults.Figure(
                                "idle.sidecar.bytes_out",
                                "B/s",
                                ScaleResults.EXTRAPOLATED,
                                4300,
                                2950,
                                2800.0,
                                3100.0,
                                4,
                                null,
                                new ScaleResults.Fit(
                                        "a + b*size",
                                        "rising",
                                        0.52,
                                        0.5,
                                        0.54,
                                        List.of(108, 215, 430, 860),
                                        "scale fleet",
                                        "abc1234")))
                .writeFile(folder.resolve("worked.json"));
    }

    private List<String> check(String... lines) {
        return new PageChecker(docs).check(List.of(lines));
    }

    private void assertNoProblems(String... lines) {
        assertEquals(List.of(), check(lines));
    }

    private void assertProblem(String what, String... lines) {
        List<String> problems = check(lines);
        assertEquals(1, problems.size(), problems.toString());
        assertTrue(problems.get(0).contains(what), problems.toString());
        assertTrue(problems.get(0).startsWith("line " + lines.length + ": "), problems.toString());
    }

    private static String link(String text, String title) {
        return "[" + text + "](capacity/fleet.json \"" + title + "\")";
    }

    private static String worked(String text, String title) {
        return "[" + text + "](capacity/worked.json \"" + title + "\")";
    }

    @Test
    void acceptsFiguresInEveryUnit() {
        assertNoProblems(
                "Measured: " + BYTES + ", " + link("0.61 KB/s", "idle.sidecar.bytes_out@430"),
                "measured "
                        + link("1.23 % of a core", "idle.sidecar.cpu@430")
                        + " or "
                        + link("0.0123 of a core", "idle.sidecar.cpu@430"),
                "measured "
                        + link("21.5 MB", "idle.sidecar.heap@430")
                        + " or "
                        + link("21,500 KB", "idle.sidecar.heap@430"),
                "measured "
                        + link("12,345", "idle.sidecar.entries@430")
                        + ", "
                        + link("4.3 s", "change.sidecar.last@430")
                        + ", "
                        + link("4250 ms", "change.sidecar.last@430"),
                "measured "
                        + link("0.46 ms", "calls.sidecar.added_p99")
                        + ", "
                        + link("49 %", "idle.fleet.far@430")
                        + ", "
                        + link("4.0 /s", "idle.sidecar.datagrams@430"),
                "measured "
                        + link("590 B/s", "idle.sidecar.bytes_out@430 low")
                        + " to "
                        + link("640 B/s", "idle.sidecar.bytes_out@430 high")
                        + ", room "
                        + link("96.8 %", "idle.sidecar.bytes_out@430 room 19 KB/s"),
                "worked out "
                        + worked("2.95 KB/s", "idle.sidecar.bytes_out@4300")
                        + ", a member "
                        + worked("0.52 B/s", "idle.sidecar.bytes_out@4300 slope"));
    }

    @Test
    void acceptsTablesOfFigures() {
        PageChecker checker = new PageChecker(docs);
        assertEquals(
                List.of(),
                checker.check(
                        List.of(
                                "Any 3 numbers of prose, and [a page](fleet.md).",
                                "",
                                "| part of 430 | measured at 430 | worked out for 4,300 | limit |",
                                "| --- | :--- | ---: | --- |",
                                "| bytes | "
                                        + BYTES
                                        + " | "
                                        + worked("2,950 B/s", "idle.sidecar.bytes_out@4300")
                                        + " | 19 KB/s |",
                                "| memory | not measured yet | not measured | 64 MB |",
                                "| nothing | none is sent | not measured yet (see below) | 1 |")));
        assertEquals(3, checker.cells(ScaleResults.MEASURED));
        assertEquals(3, checker.cells(ScaleResults.EXTRAPOLATED));
    }

    @Test
    void reportsValueThatDiffersFromFile() {
        assertProblem("612.4", "measured " + link("613 B/s", "idle.sidecar.bytes_out@430"));
        assertProblem("612.4", "measured " + link("612.5 B/s", "idle.sidecar.bytes_out@430"));
        assertProblem("0.6124", "measured " + link("612 KB/s", "idle.sidecar.bytes_out@430"));
        assertProblem(
                "1.23",
                "measured "
                        + link("1.2 % of a core", "idle.sidecar.cpu@430").replace("1.2", "1.3"));
        assertProblem("0.0123", "measured " + link("0 of a core", "idle.sidecar.cpu@430"));
        assertProblem("590", "measured " + link("612 B/s", "idle.sidecar.bytes_out@430 low"));
        assertProblem(
                "0.52",
                "worked out "
                        + worked("0.5 B/s", "idle.sidecar.bytes_out@4300 slope")
                                .replace("0.5 ", "0.6 "));
        assertProblem(
                "96.7768", "measured " + link("97.8 %", "idle.sidecar.bytes_out@430 room 19 KB/s"));
    }

    @Test
    void reportsMissingKeySizeOrFile() {
        assertProblem(
                "has no idle.sidecar.bytes_in at size 430",
                "measured " + link("612 B/s", "idle.sidecar.bytes_in@430"));
        assertProblem(
                "has no idle.sidecar.bytes_out at size 860",
                "measured " + link("612 B/s", "idle.sidecar.bytes_out@860"));
        assertProblem(
                "has no idle.sidecar.bytes_out at size 0",
                "measured " + link("612 B/s", "idle.sidecar.bytes_out"));
        assertProblem(
                "is not there",
                "measured [612 B/s](capacity/absent.json \"idle.sidecar.bytes_out@430\")");
        assertProblem(
                "not within capacity/",
                "measured [612 B/s](../fleet.json \"idle.sidecar.bytes_out@430\")");
        assertProblem("no title", "measured [612 B/s](capacity/fleet.json)");
        assertProblem(
                "no title", "measured " + link("612 B/s", "idle.sidecar.bytes_out@430 about"));
        assertProblem(
                "has no slope", "measured " + link("612 B/s", "idle.sidecar.bytes_out@430 slope"));
    }

    @Test
    void reportsNumberWithoutLink() {
        String head = "| part | measured |";
        String line = "| --- | --- |";
        assertProblem("no figure of a run: 612 B/s", head, line, "| bytes | 612 B/s |");
        assertProblem(
                "no figure of a run: at 430:", head, line, "| bytes | at 430: " + BYTES + " |");
        assertProblem(
                "no figure of a run: [612 B/s]", head, line, "| bytes | [612 B/s](fleet.md) |");
        assertProblem("no figure of a run: not yet", head, line, "| bytes | not yet 3 |");
        assertProblem("empty cell", head, line, "| bytes | |");
        assertProblem("1 cells under 2 heads", head, line, "| bytes 612 |");
        assertProblem(
                "no figure of a run: 5", "| part | what is worked out |", line, "| bytes | 5 |");
    }

    @Test
    void reportsWrongOrUnstatedKind() {
        assertProblem(
                "is said to be worked",
                "| part | worked out |",
                "| --- | --- |",
                "| bytes | " + BYTES + " |");
        assertProblem(
                "is said to be measured",
                "| part | measured |",
                "| --- | --- |",
                "| bytes | " + worked("2,950 B/s", "idle.sidecar.bytes_out@4300") + " |");
        assertProblem("is said to be worked", "What was worked out is " + BYTES);
        assertProblem("does not say on its line", "It is " + BYTES);
        assertProblem("does not say on its line", "What is not measured yet, and " + BYTES);
        assertProblem("is said to be worked", "measured " + BYTES + ", worked out " + BYTES);
        assertProblem(
                "does not say on its line",
                "| part | figure |",
                "| --- | --- |",
                "| bytes | " + BYTES + " |");
    }

    @Test
    void reportsUnitThatCannotBeConverted() {
        assertProblem(
                "no unit that B/s can be told in",
                "measured " + link("612 B", "idle.sidecar.bytes_out@430"));
        assertProblem(
                "no unit that B/s can be told in",
                "measured " + link("612", "idle.sidecar.bytes_out@430"));
        assertProblem(
                "no number with a unit",
                "measured " + link("few B/s", "idle.sidecar.bytes_out@430"));
        assertProblem(
                "is no limit for B/s",
                "measured " + link("3 %", "idle.sidecar.bytes_out@430 room 64 MB"));
    }
}
