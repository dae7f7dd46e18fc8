package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The deploy file must list all source files that make decisions, and no others. */
class PolicyFileTest {

    /** The paths in the deploy file are relative to the repository root, one above this module. */
    private static final Path ROOT = Path.of("..");

    private static final Path SOURCES = ROOT.resolve("balancer/src/main/java");
    private static final int MAX_LINE_LENGTH = 110;

    /**
     * Types shared with hosts, argument checks and the reader of settings: none makes decisions.
     */
    private static final Set<String> NOT_DECIDING =
            Set.of(
                    "AttemptLimits.java",
                    "AttemptOutcome.java",
                    "AttemptResult.java",
                    "BalancerActions.java",
                    "BalancerEvents.java",
                    "BalancerSettings.java",
                    "BalancerSettingsReader.java",
                    "Checks.java",
                    "DeduplicationScope.java",
                    "FleetAdvice.java",
                    "Idempotency.java",
                    "LoadReport.java",
                    "Request.java",
                    "RequestClass.java",
                    "Server.java",
                    "ServerListKind.java",
                    "ServerRules.java",
                    "ServerState.java",
                    "Tenant.java");

    private static Set<Path> listed() throws IOException {
        Matcher policy =
                Pattern.compile("(?m)^policy = \\[(.*)]$")
                        .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(policy.find(), "deploy/balancer.toml names its policy files");
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(policy.group(1))
                .results()
                .map(file -> ROOT.resolve(file.group(1)).normalize())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void listsAllDecidingFilesAndNoOthers() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            Set<Path> deciding =
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !NOT_DECIDING.contains(file.getFileName().toString()))
                            .map(Path::normalize)
                            .collect(Collectors.toCollection(TreeSet::new));
            assertEquals(deciding, listed());
        }
    }

    @Test
    void listedFilesHaveShortLines() throws IOException {
        for (Path file : listed()) {
            List<String> lines = Files.readAllLines(file);
            assertTrue(lines.stream().anyMatch(line -> !line.isBlank()), file + " is not empty");
            assertEquals(
                    List.of(),
                    lines.stream().filter(line -> line.length() > MAX_LINE_LENGTH).toList());
        }
    }
}
