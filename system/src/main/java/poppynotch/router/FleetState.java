package poppynotch.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import poppynotch.config.Backend;
import poppynotch.config.FleetConfig;
import poppynotch.config.Route;
import poppynotch.pool.HysteresisCount;
import poppynotch.pool.QuotaBuckets;
import poppynotch.pool.QuotaTolerance;
import poppynotch.pool.RetryBudget;
import poppynotch.pool.RolloutOutcomes;
import poppynotch.pool.ServerPool;
import poppynotch.pool.VersionSelector;
import poppynotch.rollout.RolloutTable;
import poppynotch.settings.DeploymentLimits;
import poppynotch.settings.ProcessSettings;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * An edge's view of the fleet: the active configuration, a pool of the ready servers and a retry
 * budget for each backend, and the tenants' quotas. Owned by an {@link EdgeContext}; used on the
 * edge's event loop only.
 */
final class FleetState {

    private final ProcessSettings settings;
    private final Map<String, ServerPool> pools = new HashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final QuotaBuckets quotas;
    private final WeightedBackendSelector backendSelector = new WeightedBackendSelector();
    private final VersionSelector versions;
    private final RolloutOutcomes rolloutOutcomes;
    private FleetConfig config;
    private Collection<ServerRecord> servers = List.of();
    private int edgeCount = 1;
    private int edgeNumber;
    private double receivedPromptFraction = 1;

    /** The number of edges that share the retry budgets and the quotas. */
    private final HysteresisCount sharingEdges = new HysteresisCount();

    /**
     * Creates the state of an edge that has received nothing from the control plane yet.
     *
     * @param edgeIncarnation incarnation of the edge's process
     */
    FleetState(ProcessSettings settings, long edgeIncarnation) {
        this.settings = settings;
        rolloutOutcomes = new RolloutOutcomes(edgeIncarnation, this::inFlight);
        versions =
                new VersionSelector(
                        edgeIncarnation,
                        new SplittableRandom(edgeIncarnation),
                        rolloutOutcomes::isSuspect);
        quotas = new QuotaBuckets(tolerance(settings.limits()));
    }

    private static QuotaTolerance tolerance(DeploymentLimits limits) {
        return new QuotaTolerance(
                limits.quotaOverageFraction(), limits.quotaSlackTokens(), limits.quotaWindowMs());
    }

    /** The active configuration, or null before the first one. */
    FleetConfig config() {
        return config;
    }

    QuotaBuckets quotas() {
        return quotas;
    }

    /** Whether there is a configuration and at least one backend has a server. */
    boolean canServe() {
        return config != null && pools.values().stream().anyMatch(ServerPool::hasServers);
    }

    /** Whether a backend is configured and its servers run a model. */
    boolean runsModel(String backend) {
        Backend configured = config == null ? null : config.backends().get(backend);
        return configured != null && configured.hasEngine();
    }

    /** Makes a configuration the active one. */
    void configure(long nowMs, FleetConfig newConfig) {
        config = newConfig;
        for (Backend backend : newConfig.backends().values()) {
            ServerPool pool = pools.get(backend.name());
            if (pool == null) {
                pool = new ServerPool(backend, settings.zone());
                pool.setPosition(edgeCount, edgeNumber, receivedPromptFraction);
                pools.put(backend.name(), pool);
            }
            pool.configure(backend);
        }
        pools.keySet().retainAll(newConfig.backends().keySet());
        retryBudgets.keySet().retainAll(newConfig.backends().keySet());
        quotas.configure(nowMs, newConfig.tenants().values());
        backendSelector.retainRoutes(
                newConfig.routes().stream().map(Route::name).collect(Collectors.toSet()));
        updatePools();
    }

    /** Applies the agreed versions of services and their rollouts. */
    void applyRollouts(RolloutTable table, long revision) {
        versions.apply(table);
        rolloutOutcomes.apply(table, revision);
    }

    /** Selects the versions of servers that attempts may use. */
    VersionSelector versions() {
        return versions;
    }

    /** Counts the outcomes of attempts during rollouts. */
    RolloutOutcomes rolloutOutcomes() {
        return rolloutOutcomes;
    }

    private int inFlight(String backend, String version) {
        ServerPool pool = pools.get(backend);
        return pool == null ? 0 : pool.inFlight(version);
    }

    /** Replaces the known servers, which may be in any state. */
    void updateServers(Collection<ServerRecord> knownServers) {
        servers = List.copyOf(knownServers);
        updatePools();
    }

    private void updatePools() {
        Map<String, List<ServerRecord>> readyByBackend = new HashMap<>();
        for (ServerRecord server : servers) {
            if (server.state() == ServerState.READY) {
                readyByBackend
                        .computeIfAbsent(server.backend(), key -> new ArrayList<>())
                        .add(server);
            }
        }
        pools.forEach(
                (name, pool) -> pool.setServers(readyByBackend.getOrDefault(name, List.of())));
    }

    /**
     * Updates the number of edges and the position of this one.
     *
     * @param newEdgeCount the number of edges in the fleet, including this one
     * @param newEdgeNumber the index of this edge, starting at 0
     * @param newReceivedPromptFraction the fraction of other edges' prompts received by gossip
     */
    void updateEdgePosition(
            long nowMs, int newEdgeCount, int newEdgeNumber, double newReceivedPromptFraction) {
        int sharingBefore = sharingEdges.count();
        int sharing = sharingEdges.update(nowMs, newEdgeCount);
        if (sharing != sharingBefore) {
            retryBudgets.values().forEach(budget -> budget.setEdgeCount(sharing, false));
            quotas.setEdgeCount(sharing);
        }
        edgeCount = newEdgeCount;
        edgeNumber = newEdgeNumber;
        backendSelector.setEdgeNumber(newEdgeNumber);
        receivedPromptFraction = newReceivedPromptFraction;
        pools.values()
                .forEach(pool -> pool.setPosition(edgeCount, edgeNumber, receivedPromptFraction));
    }

    /** The pool of a backend, or null if it is not configured. */
    ServerPool pool(String backend) {
        return pools.get(backend);
    }

    /** The retry budget of a backend, created on first use. */
    RetryBudget retryBudget(String backend) {
        return retryBudgets.computeIfAbsent(backend, name -> newRetryBudget());
    }

    private RetryBudget newRetryBudget() {
        RetryBudget budget =
                new RetryBudget(
                        settings.limits().retryBudgetRatio(),
                        settings.limits().retryBudgetSlack(),
                        settings.limits().retryBudgetWindowMs());
        budget.setEdgeCount(sharingEdges.count(), true);
        return budget;
    }

    /** Selects the backend for the next request of a route by the weights. */
    String selectBackend(Route route) {
        return backendSelector.select(route);
    }
}
