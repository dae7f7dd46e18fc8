package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.JsonArray;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.Map;
import java.util.TreeMap;
import poppynotch.config.ConfigReader;

/** Fetches the status of one control-plane replica and prints a summary of the fleet. */
@Parameters(commandDescription = "Show the fleet's status as known to a core process")
final class StatusCommand implements Main.Command {

    private static final int TIMEOUT_MS = 3000;

    /** A replica whose last contact is longer ago than this is shown as out of contact. */
    private static final int MAX_CONTACT_AGE_MS = 2000;

    /** The number of servers of one backend in each state. */
    private record ServerCounts(int ready, int draining) {
        private static final ServerCounts NONE = new ServerCounts(0, 0);

        ServerCounts plus(boolean isReady) {
            return isReady
                    ? new ServerCounts(ready + 1, draining)
                    : new ServerCounts(ready, draining + 1);
        }
    }

    @Parameter(names = "--control", description = "HOST:PORT of a core process", required = true)
    private String control;

    @Override
    public int run() throws IOException {
        URI uri = URI.create("http://" + control + "/poppynotch/status");
        HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        try (InputStream in = connection.getInputStream()) {
            print(ConfigReader.parse(in.readAllBytes()), System.out);
            return 0;
        } catch (JsonException e) {
            throw new IOException("no status from " + control + ": " + e.getMessage(), e);
        }
    }

    static void print(JsonObject status, PrintStream out) {
        out.println(
                "core process "
                        + status.getString("Self")
                        + (status.getBoolean("HasQuorum") ? "" : " WITHOUT A QUORUM")
                        + (status.getBoolean("MayVote") ? "" : ", which recovers its vote"));
        out.println(
                "configuration "
                        + status.get("Generation")
                        + " (revision "
                        + status.get("Revision")
                        + ")");
        status.getJsonArray("Cores")
                .getValuesAs(JsonObject.class)
                .forEach(replica -> printReplica(replica, out));
        JsonArray edges = status.getJsonArray("Edges");
        out.println(
                edges.size()
                        + " edges: "
                        + String.join(", ", edges.getValuesAs(JsonString::getString)));
        countByBackend(status.getJsonArray("Servers"))
                .forEach(
                        (backend, counts) ->
                                out.println(
                                        "  "
                                                + backend
                                                + ": "
                                                + counts.ready()
                                                + " servers ready, "
                                                + counts.draining()
                                                + " draining"));
        if (status.containsKey("Services")) {
            status.getJsonArray("Services")
                    .getValuesAs(JsonObject.class)
                    .forEach(service -> printVersions(service, out));
        }
        if (!status.getBoolean("RegistryComplete")) {
            out.println(
                    "  the list may be incomplete: this process has just started or was cut off");
        }
    }

    private static void printVersions(JsonObject service, PrintStream out) {
        StringBuilder line =
                new StringBuilder("  ")
                        .append(service.getString("Backend"))
                        .append(": version ")
                        .append(service.getString("ServingVersion"))
                        .append(" serves");
        if (service.containsKey("Rollout")) {
            JsonObject rollout = service.getJsonObject("Rollout");
            line.append("; roll-out of ")
                    .append(rollout.getString("TargetVersion"))
                    .append(' ')
                    .append(rollout.getString("State"))
                    .append(", ")
                    .append(rollout.get("ElapsedMs"))
                    .append(" of ")
                    .append(rollout.get("TermMs"))
                    .append(" ms, exposure ")
                    .append(rollout.getString("Exposure"))
                    .append(", ")
                    .append(rollout.get("TargetAttempts"))
                    .append(" of ")
                    .append(rollout.get("Attempts"))
                    .append(" attempts");
        }
        out.println(line);
    }

    private static void printReplica(JsonObject replica, PrintStream out) {
        long contactAgeMs = replica.getJsonNumber("LastContactMs").longValue();
        String contact =
                contactAgeMs > MAX_CONTACT_AGE_MS
                        ? ", OUT OF CONTACT"
                        : ", heard " + contactAgeMs + " ms ago";
        out.println(
                "  core "
                        + replica.getString("Address")
                        + (replica.getBoolean("Acceptor") ? " votes" : " spare")
                        + contact);
    }

    private static Map<String, ServerCounts> countByBackend(JsonArray servers) {
        Map<String, ServerCounts> countsByBackend = new TreeMap<>();
        for (JsonObject server : servers.getValuesAs(JsonObject.class)) {
            boolean isReady = server.getString("State").equals("READY");
            ServerCounts counts =
                    countsByBackend.getOrDefault(server.getString("Backend"), ServerCounts.NONE);
            countsByBackend.put(server.getString("Backend"), counts.plus(isReady));
        }
        return countsByBackend;
    }
}
