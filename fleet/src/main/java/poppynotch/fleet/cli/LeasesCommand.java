package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The subcommand {@code duties}: shows and moves leases, and changes the Raft group. */
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
final class LeasesCommand extends FleetSubcommand {

    // Not required for picocli, as the subcommands have an option of that name themselves.
    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            description = "The door of a keeper, or of a process that wants duties.")
    private String adminAddress;

    @Option(names = "--json", description = "As the process gives it, for machines.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        if (adminAddress == null) {
            throw new IllegalArgumentException("--door is missing");
        }
        JsonNode status = new AdminClient(adminAddress).requestJson("duties");
        if (json) {
            out().println(status.toPrettyString());
        } else {
            printTable(status);
        }
        out().flush();
        return 0;
    }

    private void printTable(JsonNode status) {
        out().println(heading(status));
        out().printf(
                        "%-28s %-20s %-16s %-10s %s%n",
                        "duty", "holder", "token", "seen, s", "beside");
        for (Map.Entry<String, JsonNode> entry : status.path("duties").properties()) {
            JsonNode lease = entry.getValue();
            String holder = lease.path("holder").asText();
            out().printf(
                            Locale.ROOT,
                            "%-28s %-20s %-16d %-10.1f %s%n",
                            entry.getKey(),
                            holder.isEmpty() ? "nobody" : holder,
                            lease.path("token").asLong(),
                            lease.path("seen_ms").asDouble() / 1000,
                            remarks(lease));
        }
    }

    private static String remarks(JsonNode lease) {
        StringBuilder remarks = new StringBuilder();
        String nextHolder = lease.path("wanted").asText();
        if (!nextHolder.isEmpty()) {
            remarks.append("to move to ").append(nextHolder).append(' ');
        }
        if (lease.has("waiting")) {
            remarks.append("waiting: ").append(lease.path("waiting").size());
        }
        if (lease.path("mine").asBoolean()) {
            remarks.append("has it for ").append(lease.path("left_ms").asLong()).append(" ms more");
        }
        return remarks.toString();
    }

    private static String heading(JsonNode status) {
        if (!status.has("keeper")) {
            return status.path("name").asText() + " asks " + status.path("leader").asText();
        }
        return status.path("keeper").asText()
                + " (term "
                + status.path("term").asLong()
                + "): "
                + leadership(status)
                + "; keepers "
                + status.path("keepers")
                + (status.path("votes").asBoolean()
                        ? ""
                        : "; HAS NO VOTE yet: fleet duties add-keeper "
                                + status.path("keeper").asText());
    }

    private static String leadership(JsonNode status) {
        if (status.path("leads").asBoolean()) {
            return "leads";
        }
        String leader = status.path("leader").asText();
        return leader.isEmpty()
                ? "KNOWS NO LEADER: duties stand still until a majority of the keepers is back"
                : "follows " + leader;
    }

    /** Asks a lease's holder to give it up to another member. */
    @Command(
            name = "move",
            mixinStandardHelpOptions = true,
            description =
                    "Has a duty's holder give it up to another member, if that one wants it; said"
                            + " to the leader.")
    static final class Move extends AdminRequest {
        @Parameters(index = "0", paramLabel = "DUTY")
        private String role;

        @Parameters(index = "1", paramLabel = "MEMBER")
        private String member;

        @Override
        public Integer call() throws IOException {
            return sendAndPrint("duty-move " + role + " " + member);
        }
    }

    /** Adds a replica to the Raft group. */
    @Command(
            name = "add-keeper",
            mixinStandardHelpOptions = true,
            description =
                    "Lets a keeper that was started with 'keep --join' into the group; said to the"
                            + " leader.")
    static final class Add extends AdminRequest {
        @Parameters(paramLabel = "ID", description = "As its log names it.")
        private String replicaId;

        @Override
        public Integer call() throws IOException {
            return sendAndPrint("keeper-add " + replicaId);
        }
    }

    /** Removes a replica from the Raft group. */
    @Command(
            name = "remove-keeper",
            mixinStandardHelpOptions = true,
            description =
                    "Takes a keeper out of the group, as one whose log is lost; said to the"
                            + " leader.")
    static final class Remove extends AdminRequest {
        @Parameters(paramLabel = "ID", description = "As 'fleet duties' names it.")
        private String replicaId;

        @Override
        public Integer call() throws IOException {
            return sendAndPrint("keeper-remove " + replicaId);
        }
    }
}
