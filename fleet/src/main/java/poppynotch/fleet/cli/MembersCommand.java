package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code members}: shows one process's membership view. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
                "Shows the members in one process's view, and how many other members have the same"
                        + " view.")
final class MembersCommand extends FleetSubcommand {

    /** The columns of the table: the heading and the JSON key of each. */
    private static final List<String> COLUMNS =
            List.of(
                    "name",
                    "state",
                    "phase",
                    "zone",
                    "tier",
                    "version",
                    "incarnation",
                    "address",
                    "door");

    private static final String EMPTY_CELL = "-";
    private static final int COLUMN_GAP = 2;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            description = "The address of any process's admin server.")
    private String adminAddress;

    @Option(names = "--json", description = "Prints the process's response as JSON.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        JsonNode view = new AdminClient(adminAddress).requestJson("members");
        if (json) {
            out().println(view.toPrettyString());
        } else {
            out().println(heading(view));
            table(view).forEach(out()::println);
        }
        out().flush();
        return 0;
    }

    /** Summarizes a membership view in one line. */
    static String heading(JsonNode view) {
        return String.format(
                Locale.ROOT,
                "%s as %s sees it: %d present, view %s (epoch %d),"
                        + " %d others tell the same, %d another; %s%s%s",
                view.path("fleet").asText(),
                view.path("name").asText(),
                view.path("present").asInt(),
                view.path("digest").asText(),
                view.path("epoch").asLong(),
                view.path("same").asInt(),
                view.path("other").asInt(),
                view.path("majority").asBoolean()
                        ? "it holds a majority of the last agreed view"
                        : "NO MAJORITY of the last agreed view",
                " (of " + view.path("agreed").asInt() + ")",
                localProblems(view));
    }

    private static String localProblems(JsonNode view) {
        StringBuilder problems = new StringBuilder();
        if (view.path("health").asInt() > 0) {
            problems.append("; this process is slow or hears little (health ")
                    .append(view.path("health").asInt())
                    .append(')');
        }
        if (view.path("superseded").asBoolean()) {
            problems.append("; another process of its name is the member now");
        }
        return problems.toString();
    }

    private static List<String> table(JsonNode view) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(COLUMNS);
        for (JsonNode member : view.path("members")) {
            rows.add(COLUMNS.stream().map(column -> cell(member, column)).toList());
        }
        int[] widths = new int[COLUMNS.size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        return rows.stream().map(row -> line(row, widths)).toList();
    }

    private static String cell(JsonNode member, String column) {
        String text = member.path(column).asText("");
        return text.isEmpty() ? EMPTY_CELL : text;
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            line.append(String.format("%-" + (widths[i] + COLUMN_GAP) + "s", row.get(i)));
        }
        return line.toString().stripTrailing();
    }
}
