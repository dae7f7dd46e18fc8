package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code watch}: prints changes in one process's membership view. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description = "Prints a line for each change in one process's membership view.")
final class WatchCommand extends FleetSubcommand {

    private static final int MIN_INTERVAL_MS = 50;
    private static final long NO_EPOCH = -1;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            description = "The address of any process's admin server.")
    private String adminAddress;

    @Option(
            names = "--every",
            paramLabel = "MS",
            description = "The polling interval in ms; 500 by default.")
    private long intervalMs = 500;

    @Option(
            names = "--looks",
            paramLabel = "N",
            description = "The number of polls before the command ends; unlimited by default.")
    private long pollCount = Long.MAX_VALUE;

    /** The state of each member at the last poll. */
    private Map<String, String> lastStates = Map.of();

    private long lastEpoch = NO_EPOCH;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (intervalMs < MIN_INTERVAL_MS || pollCount < 1) {
            throw new IllegalArgumentException("--every must be 50 or more and --looks 1 or more");
        }
        AdminClient client = new AdminClient(adminAddress);
        for (long poll = 1; poll <= pollCount; poll++) {
            printChanges(client.requestJson("members"));
            if (poll < pollCount) {
                TimeUnit.MILLISECONDS.sleep(intervalMs);
            }
        }
        return 0;
    }

    private void printChanges(JsonNode view) {
        String time = LocalTime.now(ZoneId.systemDefault()).truncatedTo(ChronoUnit.MILLIS) + " ";
        Map<String, String> states = states(view);
        states.forEach(
                (name, state) -> {
                    if (!state.equals(lastStates.get(name))) {
                        out().println(time + name + ": " + state);
                    }
                });
        lastStates.keySet().stream()
                .filter(name -> !states.containsKey(name))
                .forEach(name -> out().println(time + name + ": forgotten"));
        lastStates = states;
        long epoch = view.path("epoch").asLong();
        if (epoch != lastEpoch) {
            lastEpoch = epoch;
            out().println(time + MembersCommand.heading(view));
        }
        out().flush();
    }

    /** The state of each member as one line of text, by member name. */
    private static Map<String, String> states(JsonNode view) {
        Map<String, String> states = new TreeMap<>();
        for (JsonNode member : view.path("members")) {
            states.put(
                    member.path("name").asText(),
                    member.path("state").asText()
                            + " "
                            + member.path("phase").asText("-")
                            + ", incarnation "
                            + member.path("incarnation").asText()
                            + ", at "
                            + member.path("address").asText());
        }
        return states;
    }
}
