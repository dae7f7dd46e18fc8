package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import poppynotch.scale.ScaleRun;

/** Measures what control costs at several sizes of a fleet, on this machine alone. */
@Parameters(commandDescription = "Measure what control costs at several sizes of a fleet")
final class ScaleCommand implements Main.Command {

    @Parameter(names = "--edges", description = "sizes, separated by commas")
    private List<Integer> edges = new ArrayList<>(List.of(50, 100, 200, 400, 800));

    @Parameter(names = "--servers-per-edge", description = "servers for each edge")
    private double serversPerEdge = 600.0 / 380;

    @Parameter(names = "--tenants-per-edge", description = "tenants for each edge")
    private double tenantsPerEdge = 4900.0 / 380;

    @Parameter(names = "--routes", description = "routes in the configuration")
    private int routes = 60;

    @Parameter(names = "--cores", description = "core processes")
    private int cores = 5;

    @Parameter(names = "--idle", description = "seconds in which nothing changes")
    private int idleSeconds = 10;

    @Parameter(names = "--out", description = "the file for the figures", required = true)
    private String out;

    @Override
    public int run() throws IOException, InterruptedException {
        List<ScaleRun.Plan> plans = new ArrayList<>();
        for (int size : edges) {
            int servers = (int) Math.round(size * serversPerEdge);
            int tenants = (int) Math.round(size * tenantsPerEdge);
            plans.add(new ScaleRun.Plan(size, servers, tenants, routes, cores, idleSeconds));
        }
        String command =
                "poppynotch scale --edges "
                        + edges
                        + " --cores "
                        + cores
                        + " --idle "
                        + idleSeconds;
        ScaleRun.measureAll(plans, command, Path.of(out));
        return 0;
    }
}
