package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import poppynotch.demo.LoopbackFleet;
import poppynotch.settings.HostPort;

/**
 * Runs a complete fleet on loopback addresses, sends requests to it, and prints how many were
 * served and by which servers. The exit code is 0 if all were served.
 */
@Parameters(
        commandDescription = "Run a complete fleet on loopback with simulated servers and clients")
final class DemoCommand implements Main.Command {

    private static final long START_TIMEOUT_MS = 30_000;
    private static final int STATUS_OK = 200;

    @Parameter(names = "--requests", description = "the number of requests to send of each kind")
    private int requestCount = 200;

    @Parameter(names = "--edges", description = "the number of edges to run")
    private int edgeCount = 2;

    @Parameter(names = "--cores", description = "the number of core processes to run")
    private int replicaCount = 3;

    @Parameter(names = "--servers", description = "the number of servers to run of each service")
    private int serversPerBackend = 3;

    @Override
    public int run() throws IOException {
        // The requests set a Host header that differs from the address they are sent to.
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        Path folder = Files.createTempDirectory("poppynotch-demo");
        try (LoopbackFleet fleet =
                new LoopbackFleet(folder, replicaCount, edgeCount, serversPerBackend)) {
            fleet.configure(START_TIMEOUT_MS);
            int servedCount = 0;
            for (int i = 0; i < requestCount; i++) {
                HostPort front = fleet.fronts().get(i % fleet.fronts().size());
                servedCount += fleet.call(front, "/call/" + i) == STATUS_OK ? 1 : 0;
                servedCount += fleet.call(front, "/chat/" + i) == STATUS_OK ? 1 : 0;
            }
            System.out.println(
                    servedCount
                            + " of "
                            + 2 * requestCount
                            + " requests served; by server "
                            + fleet.servedCounts());
            System.out.println(fleet.status());
            return servedCount == 2 * requestCount ? 0 : 1;
        } finally {
            deleteRecursively(folder);
        }
    }

    private static void deleteRecursively(Path folder) throws IOException {
        List<Path> deepestFirst;
        try (Stream<Path> paths = Files.walk(folder)) {
            deepestFirst = paths.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : deepestFirst) {
            Files.deleteIfExists(path);
        }
    }
}
