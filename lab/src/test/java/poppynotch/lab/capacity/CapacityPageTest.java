package poppynotch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.lab.report.ScaleResults;

/** Holds the pages of capacity to the results of the runs under docs/capacity. */
class CapacityPageTest {

    private static final Path DOCS = Path.of("../docs");
    private static final String FLEET = "CAPACITY.md";
    private static final String SIDECAR = "CAPACITY-sidecar.md";
    private static final List<String> FLEET_ROLES =
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
    private static final List<String> FLEET_FAILURES =
            List.of(
                    "a machine",
                    "a core machine",
                    "a rack",
                    "a zone",
                    "regions apart for minutes",
                    "all core machines at once",
                    "210 restarts");
    private static final List<String> ROLES =
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
    private static final List<String> FAILURES =
            List.of(
                    "a machine",
                    "a rack",
                    "a zone",
                    "regions apart for an hour",
                    "discovery away",
                    "all four control machines",
                    "110 restarts at once");

    @Test
    void theFleetsPageSaysWhatTheRunsGave() throws IOException {
        saysWhatTheRunsGave(FLEET, FLEET_ROLES, FLEET_FAILURES);
    }

    @Test
    void theSidecarsPageSaysWhatTheRunsGave() throws IOException {
        saysWhatTheRunsGave(SIDECAR, ROLES, FAILURES);
    }

    private static void saysWhatTheRunsGave(String page, List<String> roles, List<String> failures)
            throws IOException {
        PageChecker checker = new PageChecker(DOCS);
        assertEquals(List.of(), checker.check(Files.readAllLines(DOCS.resolve(page))));
        // Heads of other words would leave nothing to check.
        assertTrue(checker.cells(ScaleResults.MEASURED) >= roles.size() + failures.size());
        assertTrue(checker.cells(ScaleResults.WORKED) >= roles.size());
    }

    @Test
    void thePagesHaveEveryRoleAndEveryFailure() throws IOException {
        hasAll(FLEET, List.of(FLEET_ROLES, FLEET_FAILURES));
        hasAll(SIDECAR, List.of(ROLES, FAILURES));
    }

    private static void hasAll(String page, List<List<String>> all) throws IOException {
        List<String> lines = Files.readAllLines(DOCS.resolve(page));
        all.forEach(
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
