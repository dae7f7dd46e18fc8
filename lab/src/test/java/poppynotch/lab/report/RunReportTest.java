package poppynotch.lab.report;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.lab.TestExperiments;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.Result;
import poppynotch.lab.virtual.VirtualWorld;

/** The report of a run, and the comparison of two runs. */
class RunReportTest {

    private static final List<Result> DAYS = new ArrayList<>();
    private static final List<Result> SLOW_DAYS = new ArrayList<>();

    @TempDir Path folder;

    @BeforeAll
    static void playDays() throws Exception {
        Experiment crash =
                TestExperiments.smallExperiment(
                        "- {kind: crash, at: 2s, for: 1s, part: 0.25}", "duration", "3s");
        Experiment slow =
                TestExperiments.smallExperiment(
                        "- {kind: slow, at: 0s, for: 6s, factor: 3}", "duration", "3s");
        for (long seed = 1; seed <= 3; seed++) {
            for (String policy : List.of("decide", "random")) {
                DAYS.add(
                        VirtualWorld.play(
                                        crash,
                                        seed,
                                        policy,
                                        Map.of(),
                                        clock -> null,
                                        false,
                                        fractionDone -> {})
                                .result());
                SLOW_DAYS.add(
                        VirtualWorld.play(
                                        slow,
                                        seed,
                                        policy,
                                        Map.of(),
                                        clock -> null,
                                        false,
                                        fractionDone -> {})
                                .result());
            }
        }
    }

    @Test
    void readsRunAsWrittenAndWritesEqualDaysAsEqualBytes() throws Exception {
        RunReport.write(folder.resolve("a"), "what <it> shows", DAYS);
        assertEquals(DAYS, ResultFile.read(folder.resolve("a")));
        RunReport.write(
                folder.resolve("b"),
                "what <it> shows",
                ResultFile.read(folder.resolve("a/result.json")));
        for (String file : List.of("result.json", "report.html")) {
            assertArrayEquals(
                    Files.readAllBytes(folder.resolve("a").resolve(file)),
                    Files.readAllBytes(folder.resolve("b").resolve(file)),
                    file);
        }
    }

    /** A page that fetched anything would be empty where there is no network. */
    @Test
    void pageHoldsItsPlotsAndLoadsNothingElse() throws Exception {
        RunReport.write(folder, "what <it> shows", DAYS);
        String html = Files.readString(folder.resolve("report.html"));
        assertTrue(html.contains("what &lt;it&gt; shows"));
        for (String title :
                List.of(
                        "Worth served in time",
                        "What clients waited",
                        "retries",
                        "Limit of the first",
                        "Calls a nodo, tier two")) {
            assertTrue(html.contains(title), title);
        }
        assertEquals(8, html.split("<svg ", -1).length - 1);
        assertFalse(html.matches("(?s).*(src|href)=\"(?!#).*"));
    }

    @Test
    void comparesPoliciesOfRunPairedBySeed() {
        List<RunComparison> comparisons = RunComparison.comparePolicies(DAYS);
        assertEquals(1, comparisons.size());
        assertEquals(3, comparisons.get(0).seeds());
        double[] scores = DAYS.stream().mapToDouble(Result::g).toArray();
        assertEquals(
                (scores[1] - scores[0] + scores[3] - scores[2] + scores[5] - scores[4]) / 3,
                comparisons.get(0).figures().get("G").mean(),
                1e-9);
    }

    @Test
    void comparesTwoRunsOnTheirCommonDays() throws Exception {
        List<RunComparison> comparisons = RunComparison.compare(DAYS, SLOW_DAYS.subList(0, 4));
        assertEquals(2, comparisons.size());
        assertEquals(2, comparisons.get(0).seeds());
        RunComparison.Difference p50 = comparisons.get(0).figures().get("median wait, s");
        assertTrue(p50.mean() > 0 && !p50.better(), p50.toString());
        ComparisonReport.write(folder, comparisons, DAYS, SLOW_DAYS);
        assertTrue(
                Files.readString(folder.resolve("comparison.html"))
                        .contains("small, decide (2 seeds)"));
        assertTrue(Files.size(folder.resolve("comparison.json")) > 0);
    }

    @Test
    void dayComparedWithItselfHasNoDifference() {
        RunComparison.Difference score =
                RunComparison.compare(DAYS, DAYS).get(0).figures().get("G");
        assertEquals(0, score.mean());
        assertFalse(score.clear());
    }

    @Test
    void singleSeedHasNoConfidenceInterval() {
        assertTrue(Double.isNaN(PairedMean.of(List.of(1.0)).halfWidth()));
        assertFalse(PairedMean.of(List.of(1.0)).isClear());
        // Student's t for three figures: 4.303 times the standard error.
        assertEquals(4.303 / Math.sqrt(3), PairedMean.of(List.of(1.0, 2.0, 3.0)).halfWidth(), 1e-3);
    }

    @Test
    void rejectsFileThatIsMissingOrHoldsNoResults() throws Exception {
        Path missing = folder.resolve("none");
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> ResultFile.read(missing))
                        .getMessage()
                        .endsWith("is not there"));
        Path malformed = Files.writeString(folder.resolve("bad.json"), "[{\"g\": 1}");
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> ResultFile.read(malformed))
                        .getMessage()
                        .contains("is no result of a run"));
    }
}
