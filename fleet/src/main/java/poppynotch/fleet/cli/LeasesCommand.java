package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows and moves duties. */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Shows who has which duty, as a keeper or any process that wants one tells it.",
        subcommands = {
            LeasesCommand.Move.class,
            LeasesCommand.Add.class,
            LeasesCommand.Remove.class
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  fleet duties --door 127.0.0.1:9001",
            "  fleet duties move discovery-reader front-2 --door 127.0.0.1:9001",
            "  fleet duties add-keeper k4/5ac1 --door 127.0.0.1:9001"
        })
final class LeasesCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            description = "The door of a keeper, or of a process that wants duties.")
    private String door;

    @Option(names = "--json", description = "As the process gives it, for machines.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        if (door == null) {
            throw new IllegalArgumentException("--door is missing");
        }
        JsonNode status = new AdminClient(door).ask("duties");
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(status.toPrettyString());
        } else {
            out.println(head(status));
            out.printf(
                    "%-28s %-20s %-16s %-10s %s%n", "duty", "holder", "token", "seen, s", "beside");
            status.path("duties")
                    .fields()
                    .forEachRemaining(
                            each -> {
                                JsonNode duty = each.getValue();
                                String wanted = duty.path("wanted").asText();
                                out.printf(
                                        Locale.ROOT,
                                        "%-28s %-20s %-16d %-10.1f %s%n",
                                        each.getKey(),
                                        duty.path("holder").asText().isEmpty()
                                                ? "nobody"
                                                : duty.path("holder").asText(),
                                        duty.path("token").asLong(),
                                        duty.path("seen_ms").asDouble() / 1000,
                                        (wanted.isEmpty() ? "" : "to move to " + wanted + " ")
                                                + (duty.has("waiting")
                                                        ? "waiting: " + duty.path("waiting").size()
                                                        : "")
                                                + (duty.path("mine").asBoolean()
                                                        ? "has it for "
                                                                + duty.path("left_ms").asLong()
                                                                + " ms more"
                                                        : ""));
                            });
        }
        out.flush();
        return 0;
    }

    private static String head(JsonNode status) {
        if (!status.has("keeper")) {
            return status.path("name").asText() + " asks " + status.path("leader").asText();
        }
        String leader = status.path("leader").asText();
        return status.path("keeper").asText()
                + " (term "
                + status.path("term").asLong()
                + "): "
                + (status.path("leads").asBoolean()
                        ? "leads"
                        : leader.isEmpty()
                                ? "KNOWS NO LEADER: duties stand still until a majority of the keepers is back"
                                : "follows " + leader)
                + "; keepers "
                + status.path("keepers")
                + (status.path("votes").asBoolean()
                        ? ""
                        : "; HAS NO VOTE yet: fleet duties add-keeper "
                                + status.path("keeper").asText());
    }

    /** Moves a duty. */
    @Command(
            name = "move",
            mixinStandardHelpOptions = true,
            description =
                    "Has a duty's holder give it up to another member, if that one wants it; said to the"
                            + " leader.")
    static final class Move extends AdminRequest {
        @Parameters(index = "0", paramLabel = "DUTY")
        private String duty;

        @Parameters(index = "1", paramLabel = "MEMBER")
        private String member;

        @Override
        public Integer call() throws IOException {
            return tell("duty-move " + duty + " " + member);
        }
    }

    /** Lets a keeper into the group. */
    @Command(
            name = "add-keeper",
            mixinStandardHelpOptions = true,
            description =
                    "Lets a keeper that was started with 'keep --join' into the group; said to the leader.")
    static final class Add extends AdminRequest {
        @Parameters(paramLabel = "ID", description = "As its log names it.")
        private String id;

        @Override
        public Integer call() throws IOException {
            return tell("keeper-add " + id);
        }
    }

    /** Takes a keeper out of the group. */
    @Command(
            name = "remove-keeper",
            mixinStandardHelpOptions = true,
            description =
                    "Takes a keeper out of the group, as one whose log is lost; said to the leader.")
    static final class Remove extends AdminRequest {
        @Parameters(paramLabel = "ID", description = "As 'fleet duties' names it.")
        private String id;

        @Override
        public Integer call() throws IOException {
            return tell("keeper-remove " + id);
        }
    }
}
