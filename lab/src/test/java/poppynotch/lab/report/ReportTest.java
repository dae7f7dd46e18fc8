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
import poppynotch.lab.Days;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.Result;
import poppynotch.lab.virtual.VirtualWorld;

/** What a run leaves behind, and what two runs say of each other. */
class ReportTest {

    private static final List<Result> DAYS = new ArrayList<>();
    private static final List<Result> SLOWER = new ArrayList<>();

    @TempDir Path folder;

    @BeforeAll
    static void play() throws Exception {
        Experiment e = Days.small("- {kind: crash, at: 2s, for: 1s, part: 0.25}", "duration", "3s");
        Experiment slow =
                Days.small("- {kind: slow, at: 0s, for: 6s, factor: 3}", "duration", "3s");
        for (long seed = 1; seed <= 3; seed++) {
            for (String policy : List.of("decide", "random")) {
                DAYS.add(
                        VirtualWorld.play(
                                        e, seed, policy, Map.of(), clock -> null, false, part -> {})
                                .result());
                SLOWER.add(
                        VirtualWorld.play(
                                        slow,
                                        seed,
                                        policy,
                                        Map.of(),
                                        clock -> null,
                                        false,
                                        part -> {})
                                .result());
            }
        }
    }

    @Test
    void aRunIsReadAsItWasWrittenAndTheSameDaysGiveTheSameBytes() throws Exception {
        Report.write(folder.resolve("a"), "what <it> shows", DAYS);
        assertEquals(DAYS, Report.read(folder.resolve("a")));
        Report.write(
                folder.resolve("b"),
                "what <it> shows",
                Report.read(folder.resolve("a/result.json")));
        for (String file : List.of("result.json", "report.html")) {
            assertArrayEquals(
                    Files.readAllBytes(folder.resolve("a").resolve(file)),
                    Files.readAllBytes(folder.resolve("b").resolve(file)),
                    file);
        }
    }

    /** A page that fetched anything would be empty where there is no network. */
    @Test
    void thePageHoldsItsPlotsAndNeedsNothingElse() throws Exception {
        Report.write(folder, "what <it> shows", DAYS);
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
    void policiesOfARunAreComparedSeedBySeed() {
        List<Report.Comparison> all = Report.comparePolicies(DAYS);
        assertEquals(1, all.size());
        assertEquals(3, all.get(0).seeds());
        double[] g = DAYS.stream().mapToDouble(Result::g).toArray();
        assertEquals(
                (g[1] - g[0] + g[3] - g[2] + g[5] - g[4]) / 3,
                all.get(0).figures().get("G").mean(),
                1e-9);
    }

    @Test
    void twoRunsAreComparedOnTheDaysThatTheyShare() throws Exception {
        List<Report.Comparison> all = Report.compare(DAYS, SLOWER.subList(0, 4));
        assertEquals(2, all.size());
        assertEquals(2, all.get(0).seeds());
        Report.Difference p50 = all.get(0).figures().get("median wait, s");
        assertTrue(p50.mean() > 0 && !p50.better(), p50.toString());
        Report.write(folder, all, DAYS, SLOWER);
        assertTrue(
                Files.readString(folder.resolve("comparison.html"))
                        .contains("small, decide (2 seeds)"));
        assertTrue(Files.size(folder.resolve("comparison.json")) > 0);
    }

    @Test
    void aDayAgainstItselfDiffersInNothing() {
        Report.Difference g = Report.compare(DAYS, DAYS).get(0).figures().get("G");
        assertEquals(0, g.mean());
        assertFalse(g.clear());
    }

    @Test
    void oneSeedSaysNothingOfTheSpread() {
        assertTrue(Double.isNaN(Paired.of(List.of(1.0)).halfWidth()));
        assertFalse(Paired.of(List.of(1.0)).isClear());
        // Student's t for three figures: 4.303 times the standard error.
        assertEquals(4.303 / Math.sqrt(3), Paired.of(List.of(1.0, 2.0, 3.0)).halfWidth(), 1e-3);
    }

    @Test
    void whatIsNoResultIsToldSo() throws Exception {
        Path none = folder.resolve("none");
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> Report.read(none))
                        .getMessage()
                        .endsWith("is not there"));
        Path bad = Files.writeString(folder.resolve("bad.json"), "[{\"g\": 1}");
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> Report.read(bad))
                        .getMessage()
                        .contains("is no result of a run"));
    }
}
