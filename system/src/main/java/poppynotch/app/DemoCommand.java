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
 * Runs a whole fleet on loopback with stand-ins for servers and clients, and tells what it served.
 */
@Parameters(commandDescription = "Run a whole fleet on loopback with stand-in servers and clients")
final class DemoCommand implements Main.Command {

    private static final long START_MS = 30_000;
    private static final int OK = 200;

    @Parameter(names = "--requests", description = "how many requests to send of each kind")
    private int requests = 200;

    @Parameter(names = "--edges", description = "how many edges to run")
    private int edges = 2;

    @Parameter(names = "--cores", description = "how many core processes to run")
    private int cores = 3;

    @Parameter(names = "--servers", description = "how many servers to run of each service")
    private int servers = 3;

    @Override
    public int run() throws IOException {
        // Clients name a host that is not the address they connect to.
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        Path folder = Files.createTempDirectory("poppynotch-demo");
        try (LoopbackFleet fleet = new LoopbackFleet(folder, cores, edges, servers)) {
            fleet.configure(START_MS);
            int served = 0;
            for (int i = 0; i < requests; i++) {
                HostPort front = fleet.fronts().get(i % fleet.fronts().size());
                served += fleet.call(front, "/call/" + i) == OK ? 1 : 0;
                served += fleet.call(front, "/chat/" + i) == OK ? 1 : 0;
            }
            System.out.println(
                    served
                            + " of "
                            + 2 * requests
                            + " requests served; by server "
                            + fleet.served());
            System.out.println(fleet.status());
            return served == 2 * requests ? 0 : 1;
        } finally {
            delete(folder);
        }
    }

    private static void delete(Path folder) throws IOException {
        List<Path> all;
        try (Stream<Path> paths = Files.walk(folder)) {
            all = paths.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : all) {
            Files.deleteIfExists(path);
        }
    }
}
