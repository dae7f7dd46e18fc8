package mapleroute.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mapleroute.lab.report.ScaleResults;
import org.junit.jupiter.api.Test;

/** Holds docs/CAPACITY.md to the results of the runs under docs/capacity. */
class CapacityPageTest {

    private static final Path DOCS = Path.of("../docs");
    private static final List<String> ROLES = List.of("sidecar, all control", "sidecar: membership",
        "sidecar: sharing", "sidecar: duties' client", "sidecar: releases' stager",
        "sidecar: watch on discovery", "sidecar: data path", "duty voter (keeper)", "discovery's reader",
        "release conductor", "platform's discovery", "operators' commands", "a change of configuration");
    private static final List<String> FAILURES = List.of("a machine", "a rack", "a zone",
        "regions apart for an hour", "discovery away", "all four control machines", "110 restarts at once");

    @Test
    void thePageSaysWhatTheRunsGave() throws IOException {
        PageChecker checker = new PageChecker(DOCS);
        assertEquals(List.of(), checker.check(Files.readAllLines(DOCS.resolve("CAPACITY.md"))));
        // Heads of other words would leave nothing to check.
        assertTrue(checker.cells(ScaleResults.MEASURED) >= ROLES.size() + FAILURES.size());
        assertTrue(checker.cells(ScaleResults.WORKED) >= ROLES.size());
    }

    @Test
    void thePageHasEveryRoleAndEveryFailure() throws IOException {
        List<String> page = Files.readAllLines(DOCS.resolve("CAPACITY.md"));
        List.of(ROLES, FAILURES).forEach(rows -> rows.forEach(row -> assertTrue(
            page.stream().anyMatch(line -> line.startsWith("| " + row)), row)));
    }
}
