package poppynotch.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import poppynotch.config.Backend;
import poppynotch.config.FleetConfig;
import poppynotch.config.Route;
import poppynotch.pool.HysteresisCount;
import poppynotch.pool.QuotaBuckets;
import poppynotch.pool.QuotaTolerance;
import poppynotch.pool.RetryBudget;
import poppynotch.pool.ServerPool;
import poppynotch.settings.DeploymentLimits;
import poppynotch.settings.ProcessSettings;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * What an edge knows of the fleet: the configuration in force, and a pool and a budget for each
 * service.
 */
final class FleetState {

    private final ProcessSettings settings;
    private final Map<String, ServerPool> pools = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final QuotaBuckets quotas;
    private final SplittableRandom random = new SplittableRandom();
    private FleetConfig config;
    private Collection<ServerRecord> servers = List.of();
    private int edges = 1;
    private int number;
    private double heardPart = 1;

    /** How many edges share the budgets and the quotas. */
    private final HysteresisCount sharers = new HysteresisCount();

    FleetState(ProcessSettings settings) {
        this.settings = settings;
        quotas = new QuotaBuckets(tolerance(settings.bounds()));
    }

    private static QuotaTolerance tolerance(DeploymentLimits bounds) {
        return new QuotaTolerance(
                bounds.quotaOver(), bounds.quotaSlackTokens(), bounds.quotaWindowMs());
    }

    /** The configuration in force, or null before the first. */
    FleetConfig config() {
        return config;
    }

    QuotaBuckets quotas() {
        return quotas;
    }

    /** Whether requests can be served. */
    boolean canServe() {
        return config != null && pools.values().stream().anyMatch(ServerPool::hasServers);
    }

    void configure(long nowMs, FleetConfig newer) {
        config = newer;
        for (Backend backend : newer.backends().values()) {
            ServerPool pool = pools.get(backend.name());
            if (pool == null) {
                pool = new ServerPool(backend, settings.zone());
                pool.place(edges, number, heardPart);
                pools.put(backend.name(), pool);
            }
            pool.configure(backend);
        }
        pools.keySet().retainAll(newer.backends().keySet());
        budgets.keySet().retainAll(newer.backends().keySet());
        quotas.configure(nowMs, newer.tenants().values());
        distribute();
    }

    /** The servers that are known from now on, in whatever state. */
    void servers(Collection<ServerRecord> known) {
        servers = List.copyOf(known);
        distribute();
    }

    private void distribute() {
        Map<String, List<ServerRecord>> ready = new HashMap<>();
        for (ServerRecord server : servers) {
            if (server.state() == ServerState.READY) {
                ready.computeIfAbsent(server.backend(), key -> new java.util.ArrayList<>())
                        .add(server);
            }
        }
        pools.forEach((name, pool) -> pool.update(ready.getOrDefault(name, List.of())));
    }

    /**
     * How many edges there are, and which of them this one is.
     *
     * @param heard the part of the others' prompts that it hears of
     */
    void place(long nowMs, int all, int ownNumber, double heard) {
        int before = sharers.count();
        int sharing = sharers.told(nowMs, all);
        if (sharing != before) {
            budgets.values().forEach(budget -> budget.place(sharing, false));
            quotas.place(sharing);
        }
        edges = all;
        number = ownNumber;
        heardPart = heard;
        pools.values().forEach(pool -> pool.place(all, ownNumber, heard));
    }

    ServerPool pool(String backend) {
        return pools.get(backend);
    }

    RetryBudget budget(String backend) {
        return budgets.computeIfAbsent(
                backend,
                name -> {
                    RetryBudget budget =
                            new RetryBudget(
                                    settings.bounds().retryBudgetRatio(),
                                    settings.bounds().retryBudgetSlack(),
                                    settings.bounds().budgetWindowMs());
                    budget.place(sharers.count(), true);
                    return budget;
                });
    }

    /** The service that a request of a route goes to, drawn by the weights. */
    String backendOf(Route route) {
        List<Route.WeightedBackend> all = route.backends();
        if (all.size() == 1) {
            return all.get(0).backend();
        }
        double sum = all.stream().mapToDouble(Route.WeightedBackend::weight).sum();
        double drawn = random.nextDouble() * sum;
        for (Route.WeightedBackend part : all) {
            drawn -= part.weight();
            if (drawn < 0) {
                return part.backend();
            }
        }
        return all.get(all.size() - 1).backend();
    }
}
