package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The subcommand {@code status}: shows a one-screen summary of the fleet as seen by one process,
 * and its problems, with a {@link FleetStatusReport}.
 */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Shows a one-screen summary of the fleet as seen by one process, with problems and"
                        + " recommended actions.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:no problems",
            "1:the process did not respond",
            "2:invalid command line",
            "3:there are problems"
        },
        footerHeading = "%nExamples:%n",
        footer = {"  fleet status --door 127.0.0.1:9100"})
final class StatusCommand extends AdminRequest {

    private static final int EXIT_PROBLEMS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(names = "--json", description = "Prints all responses and the problems as JSON.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        JsonNode members = adminClient().requestJson("members");
        JsonNode shared = requestIfSupported("shared");
        JsonNode leases = requestIfSupported("duties");
        FleetStatusReport report = new FleetStatusReport();
        report.addMembership(members);
        report.addSharedState(shared);
        report.addLeases(leases);
        if (json) {
            ObjectNode root = JSON.createObjectNode();
            root.set("members", members);
            root.set("shared", shared);
            root.set("duties", leases);
            ArrayNode problems = root.putArray("wrong");
            report.problems().forEach(problems::add);
            out().println(root.toPrettyString());
        } else {
            print(report);
        }
        out().flush();
        return report.problems().isEmpty() ? 0 : EXIT_PROBLEMS;
    }

    private void print(FleetStatusReport report) {
        report.lines().forEach(out()::println);
        out().println(report.problems().isEmpty() ? "nothing is wrong" : "WRONG:");
        report.problems().forEach(problem -> out().println("  - " + problem));
    }

    /** Sends a request; the result is empty if the process rejects it as unsupported. */
    private JsonNode requestIfSupported(String request) throws IOException {
        try {
            return adminClient().requestJson(request);
        } catch (IOException e) {
            if (e.getMessage() != null && e.getMessage().contains("says: error")) {
                return JSON.createObjectNode();
            }
            throw e;
        }
    }
}
