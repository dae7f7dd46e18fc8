package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The subcommand {@code status}: shows on one screen what a process knows of its fleet, and what is
 * wrong, by a {@link FleetStatusReport}.
 */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Shows on one screen what a process knows of its fleet, what is wrong, and what to"
                        + " do.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:nothing is wrong",
            "1:the process gave no answer",
            "2:the command line is wrong",
            "3:something is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {"  fleet status --door 127.0.0.1:9100"})
final class StatusCommand extends AdminRequest {

    private static final int EXIT_PROBLEMS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(names = "--json", description = "For machines: all that was asked, and what is wrong.")
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

    /** Sends a request that a process rejects where it does not have the feature: empty then. */
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
