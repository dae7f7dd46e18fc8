package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows who is present as one process sees it. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description =
                "Shows who is present as one process sees it, and how far the others see the same.")
final class MembersCommand implements Callable<Integer> {

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

    @Spec private CommandSpec spec;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            description = "The operators' door of any process of the fleet.")
    private String door;

    @Option(names = "--json", description = "As the process gives it, for machines.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        JsonNode view = new AdminClient(door).ask("members");
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(view.toPrettyString());
        } else {
            out.println(head(view));
            rows(view).forEach(out::println);
        }
        out.flush();
        return 0;
    }

    /** The view itself, in a line. */
    static String head(JsonNode view) {
        return String.format(
                Locale.ROOT,
                "%s as %s sees it: %d present, view %s (epoch %d), %d others tell the same, %d another; %s%s%s",
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
                (view.path("health").asInt() > 0
                                ? "; this process is slow or hears little (health "
                                        + view.path("health").asInt()
                                        + ")"
                                : "")
                        + (view.path("superseded").asBoolean()
                                ? "; another process of its name is the member now"
                                : ""));
    }

    private static List<String> rows(JsonNode view) {
        int[] widths = new int[COLUMNS.size()];
        List<List<String>> rows = new ArrayList<>();
        rows.add(COLUMNS);
        for (JsonNode member : view.path("members")) {
            rows.add(
                    COLUMNS.stream()
                            .map(
                                    column -> {
                                        String text = member.path(column).asText("");
                                        return text.isEmpty() ? "-" : text;
                                    })
                            .toList());
        }
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        return rows.stream()
                .map(
                        row -> {
                            StringBuilder line = new StringBuilder();
                            for (int i = 0; i < widths.length; i++) {
                                line.append(
                                        String.format("%-" + (widths[i] + 2) + "s", row.get(i)));
                            }
                            return line.toString().stripTrailing();
                        })
                .toList();
    }
}
