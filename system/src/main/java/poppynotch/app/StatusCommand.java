package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.JsonArray;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.TreeMap;
import poppynotch.config.ConfigReader;

/** Shows on one screen what a core process knows of the fleet. */
@Parameters(commandDescription = "Show what a core process knows of the fleet")
final class StatusCommand implements Main.Command {

    private static final int TIMEOUT_MS = 3000;
    private static final int LATE_MS = 2000;

    @Parameter(names = "--control", description = "HOST:PORT of a core process", required = true)
    private String control;

    @Override
    public int run() throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection)
                        URI.create("http://" + control + "/poppynotch/status")
                                .toURL()
                                .openConnection();
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
        for (JsonObject core : status.getJsonArray("Cores").getValuesAs(JsonObject.class)) {
            long age = core.getJsonNumber("LastContactMs").longValue();
            out.println(
                    "  core "
                            + core.getString("Address")
                            + (core.getBoolean("Acceptor") ? " votes" : " spare")
                            + (age > LATE_MS ? ", OUT OF CONTACT" : ", heard " + age + " ms ago"));
        }
        JsonArray edges = status.getJsonArray("Edges");
        out.println(
                edges.size()
                        + " edges: "
                        + String.join(", ", edges.getValuesAs(JsonString::getString)));
        TreeMap<String, int[]> byBackend = new TreeMap<>();
        for (JsonValue value : status.getJsonArray("Servers")) {
            JsonObject server = value.asJsonObject();
            int[] counts =
                    byBackend.computeIfAbsent(server.getString("Backend"), key -> new int[2]);
            counts[server.getString("State").equals("READY") ? 0 : 1]++;
        }
        byBackend.forEach(
                (backend, counts) ->
                        out.println(
                                "  "
                                        + backend
                                        + ": "
                                        + counts[0]
                                        + " servers ready, "
                                        + counts[1]
                                        + " draining"));
        if (!status.getBoolean("RegistryComplete")) {
            out.println(
                    "  the list may be incomplete: this process has just started or was cut off");
        }
    }
}
