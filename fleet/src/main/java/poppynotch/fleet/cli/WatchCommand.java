package poppynotch.fleet.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.time.LocalTime;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Follows who is present as one process sees it. */
@Command(
        name = "watch",
        mixinStandardHelpOptions = true,
        description = "Prints a line for each change that one process sees, until it is ended.")
final class WatchCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(
            names = "--door",
            paramLabel = "HOST:PORT",
            required = true,
            description = "The operators' door of any process of the fleet.")
    private String door;

    @Option(
            names = "--every",
            paramLabel = "MS",
            description = "Between two looks; 500 if not said.")
    private long everyMs = 500;

    @Option(
            names = "--looks",
            paramLabel = "N",
            description = "Ends after so many looks; else never.")
    private long looks = Long.MAX_VALUE;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (everyMs < 50 || looks < 1) {
            throw new IllegalArgumentException("--every must be 50 or more and --looks 1 or more");
        }
        AdminClient asked = new AdminClient(door);
        PrintWriter out = spec.commandLine().getOut();
        Map<String, String> before = new TreeMap<>();
        long epoch = -1;
        for (long i = 0; i < looks; i++) {
            JsonNode view = asked.ask("members");
            Map<String, String> now = new TreeMap<>();
            view.path("members")
                    .forEach(
                            member ->
                                    now.put(
                                            member.path("name").asText(),
                                            member.path("state").asText()
                                                    + " "
                                                    + member.path("phase").asText("-")
                                                    + ", incarnation "
                                                    + member.path("incarnation").asText()
                                                    + ", at "
                                                    + member.path("address").asText()));
            String at = LocalTime.now().truncatedTo(ChronoUnit.MILLIS) + " ";
            now.forEach(
                    (name, is) -> {
                        if (!is.equals(before.get(name))) {
                            out.println(at + name + ": " + is);
                        }
                    });
            before.keySet().stream()
                    .filter(name -> !now.containsKey(name))
                    .forEach(name -> out.println(at + name + ": forgotten"));
            if (view.path("epoch").asLong() != epoch) {
                epoch = view.path("epoch").asLong();
                out.println(at + MembersCommand.head(view));
            }
            out.flush();
            before.clear();
            before.putAll(now);
            if (i + 1 < looks) {
                TimeUnit.MILLISECONDS.sleep(everyMs);
            }
        }
        return 0;
    }
}
