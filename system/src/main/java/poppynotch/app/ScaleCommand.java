package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import poppynotch.scale.ScaleRun;

/** Measures the cost of the control plane at several sizes of a fleet, on this machine alone. */
@Parameters(commandDescription = "Measure what control costs at several sizes of a fleet")
final class ScaleCommand implements Main.Command {

    @Parameter(names = "--edges", description = "sizes, separated by commas")
    private List<Integer> edgeCounts = new ArrayList<>(List.of(50, 100, 200, 400, 800));

    @Parameter(names = "--servers-per-edge", description = "servers for each edge")
    private double serversPerEdge = 600.0 / 380;

    @Parameter(names = "--tenants-per-edge", description = "tenants for each edge")
    private double tenantsPerEdge = 4900.0 / 380;

    @Parameter(names = "--routes", description = "routes in the configuration")
    private int routeCount = 60;

    @Parameter(names = "--cores", description = "core processes")
    private int replicaCount = 5;

    @Parameter(names = "--idle", description = "seconds in which nothing changes")
    private int idleS = 10;

    @Parameter(names = "--out", description = "the file for the figures", required = true)
    private String outputFile;

    @Override
    public int run() throws IOException, InterruptedException {
        List<ScaleRun.Plan> plans = new ArrayList<>();
        for (int edges : edgeCounts) {
            int servers = (int) Math.round(edges * serversPerEdge);
            int tenants = (int) Math.round(edges * tenantsPerEdge);
            plans.add(new ScaleRun.Plan(edges, servers, tenants, routeCount, replicaCount, idleS));
        }
        String command =
                "poppynotch scale --edges "
                        + edgeCounts
                        + " --cores "
                        + replicaCount
                        + " --idle "
                        + idleS;
        ScaleRun.measureAll(plans, command, Path.of(outputFile));
        return 0;
    }
}
