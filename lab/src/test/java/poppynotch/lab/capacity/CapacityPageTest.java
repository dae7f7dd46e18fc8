package poppynotch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.lab.report.ScaleResults;

/** Checks the capacity pages against the results of the runs in docs/capacity. */
class CapacityPageTest {

    private static final Path DOCS = Path.of("../docs");
    private static final String FLEET_PAGE = "CAPACITY.md";
    private static final String SIDECAR_PAGE = "CAPACITY-sidecar.md";
    private static final List<String> FLEET_COMPONENTS =
            List.of(
                    "edge, all control",
                    "edge: configuration",
                    "edge: pool",
                    "edge: prompt memory",
                    "edge: retry budget",
                    "edge: quotas",
                    "edge: lease and long polls",
                    "core process, all",
                    "core: register",
                    "core: registry of servers",
                    "core: leases of edges",
                    "core: delivery",
                    "core: quota sums",
                    "operators' commands",
                    "a change of configuration",
                    "the end of a server");
    private static final List<String> FLEET_FAULTS =
            List.of(
                    "a machine",
                    "a core machine",
                    "a rack",
                    "a zone",
                    "regions apart for minutes",
                    "all core machines at once",
                    "210 restarts");
    private static final List<String> SIDECAR_COMPONENTS =
            List.of(
                    "sidecar, all control",
                    "sidecar: membership",
                    "sidecar: sharing",
                    "sidecar: duties' client",
                    "sidecar: releases' stager",
                    "sidecar: watch on discovery",
                    "sidecar: data path",
                    "duty voter (keeper)",
                    "discovery's reader",
                    "release conductor",
                    "platform's discovery",
                    "operators' commands",
                    "a change of configuration");
    private static final List<String> SIDECAR_FAULTS =
            List.of(
                    "a machine",
                    "a rack",
                    "a zone",
                    "regions apart for an hour",
                    "discovery away",
                    "all four control machines",
                    "110 restarts at once");

    @Test
    void fleetPageMatchesResultsOfRuns() throws IOException {
        assertMatchesResults(FLEET_PAGE, FLEET_COMPONENTS, FLEET_FAULTS);
    }

    @Test
    void sidecarPageMatchesResultsOfRuns() throws IOException {
        assertMatchesResults(SIDECAR_PAGE, SIDECAR_COMPONENTS, SIDECAR_FAULTS);
    }

    private static void assertMatchesResults(
            String page, List<String> components, List<String> faults) throws IOException {
        PageChecker checker = new PageChecker(DOCS);
        assertEquals(List.of(), checker.check(Files.readAllLines(DOCS.resolve(page))));
        // With other words in the column heads there would be no cells to check.
        assertTrue(checker.cells(ScaleResults.MEASURED) >= components.size() + faults.size());
        assertTrue(checker.cells(ScaleResults.EXTRAPOLATED) >= components.size());
    }

    @Test
    void pagesHaveEveryRoleAndEveryFailure() throws IOException {
        assertHasRows(FLEET_PAGE, List.of(FLEET_COMPONENTS, FLEET_FAULTS));
        assertHasRows(SIDECAR_PAGE, List.of(SIDECAR_COMPONENTS, SIDECAR_FAULTS));
    }

    private static void assertHasRows(String page, List<List<String>> tables) throws IOException {
        List<String> lines = Files.readAllLines(DOCS.resolve(page));
        tables.forEach(
                rows ->
                        rows.forEach(
                                row ->
                                        assertTrue(
                                                lines.stream()
                                                        .anyMatch(
                                                                line ->
                                                                        line.startsWith(
                                                                                "| " + row)),
                                                row)));
    }
}
