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
                "Shows the holder of each duty (lease), as known to a keeper (Raft server) or to a"
                        + " process that requests duties.",
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

    // Not marked as required, because the subcommands have their own option of this name.
    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            description = "The admin address of a keeper or of a process that requests duties.")
    private String adminAddress;

    @Option(names = "--json", description = "Prints the process's response as JSON.")
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

    /** Asks a lease's holder to hand it over to another member. */
    @Command(
            name = "move",
            mixinStandardHelpOptions = true,
            description =
                    "Moves a duty from its holder to another member, if that member requests it;"
                            + " must be sent to the leader.")
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
                    "Adds a keeper that was started with 'keep --join' to the group; must be sent"
                            + " to the leader.")
    static final class Add extends AdminRequest {
        @Parameters(paramLabel = "ID", description = "The keeper's id, as in its log.")
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
                    "Removes a keeper from the group, for example if its log is lost; must be sent"
                            + " to the leader.")
    static final class Remove extends AdminRequest {
        @Parameters(
                paramLabel = "ID",
                description = "The keeper's id, as printed by 'fleet duties'.")
        private String replicaId;

        @Override
        public Integer call() throws IOException {
            return sendAndPrint("keeper-remove " + replicaId);
        }
    }
}
