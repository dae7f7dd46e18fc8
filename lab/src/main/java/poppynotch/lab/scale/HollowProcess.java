package poppynotch.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import poppynotch.lab.drill.FleetProcesses;
import poppynotch.lab.scale.HollowAnswers.Stats;
import poppynotch.lab.scale.HollowAnswers.Views;

/**
 * A process of many hollow members, and its door. It ends with the lab, as its standard input does.
 */
final class HollowProcess {

    /** Under a process's bound on lines. */
    private static final int LONGEST_LINE = 480;

    /** Collecting the counters of hundreds of members may take its time on a busy machine. */
    private static final int PATIENCE_MS = 20_000;

    private static final String DOOR = "hollow: door ";
    private static final String MAIN = "poppynotch.sidecar.Hollow";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final FleetProcesses.ManagedProcess part;
    private final List<Places.Member> members;
    private final Set<String> names;
    private InetSocketAddress door;

    /** One that is to be. */
    HollowProcess(FleetProcesses.ManagedProcess part, List<Places.Member> members) {
        this.part = part;
        this.members = members;
        names = members.stream().map(Places.Member::name).collect(Collectors.toSet());
    }

    /**
     * Starts it; its members start when told.
     *
     * @param jar of the sidecar
     * @param heapMb that it may have
     * @param config what it reads
     */
    void start(Path jar, int heapMb, JsonNode config) throws IOException {
        Path file =
                Files.write(
                        part.logFile().resolveSibling(part.name() + ".json"),
                        JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(config));
        // As the run line's compiler, so that processor time compares; pauses short, as members see
        // time.
        part.start(
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseG1GC",
                        "-XX:ParallelGCThreads=2",
                        "-XX:ConcGCThreads=1",
                        "-Xmx" + heapMb + "m",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:-UsePerfData",
                        "-cp",
                        jar.toString(),
                        MAIN,
                        file.toString()),
                "");
    }

    /** Whether its door listens. */
    boolean listens() throws IOException {
        if (door == null) {
            Optional<String> told =
                    Files.exists(part.logFile())
                            ? part.log().lines().filter(line -> line.startsWith(DOOR)).findFirst()
                            : Optional.empty();
            if (told.isEmpty()) {
                if (!part.process().isAlive()) {
                    throw new IOException(
                            part.name()
                                    + " ended with status "
                                    + part.process().exitValue()
                                    + ": "
                                    + part.log()
                                            .lines()
                                            .filter(line -> !line.isBlank())
                                            .findFirst()
                                            .orElse("it said nothing"));
                }
                return false;
            }
            String address = told.get().substring(DOOR.length()).trim();
            int colon = address.lastIndexOf(':');
            door =
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1)));
        }
        return true;
    }

    List<Places.Member> members() {
        return members;
    }

    /** Whether it is the process of that member. */
    boolean has(String name) {
        return names.contains(name);
    }

    /** Tells it something of those of the members that are its own. */
    void tell(String call, List<String> all) throws IOException {
        for (String line :
                HollowAnswers.lines(call, all.stream().filter(this::has).toList(), LONGEST_LINE)) {
            ask(line);
        }
    }

    Views views() throws IOException {
        return Views.of(ask("views"));
    }

    Stats stats() throws IOException {
        return Stats.of(ask("stats"));
    }

    /**
     * What it answers to a line.
     *
     * @throws IOException if it does not, or refuses
     */
    JsonNode ask(String line) throws IOException {
        String answer;
        try (Socket socket = new Socket()) {
            socket.connect(door, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .trim();
        } catch (IOException e) {
            throw new IOException(
                    part.name()
                            + " did not answer "
                            + line.split(" ")[0]
                            + ": "
                            + e.getMessage()
                            + (part.process().isAlive() ? "" : "; it has ended"),
                    e);
        }
        if (!answer.equals("done") && !answer.startsWith("done ")) {
            throw new IOException(
                    part.name()
                            + " says to "
                            + line.split(" ")[0]
                            + ": "
                            + (answer.isEmpty() ? "nothing" : answer));
        }
        return answer.equals("done") ? JSON.createObjectNode() : JSON.readTree(answer.substring(5));
    }
}
