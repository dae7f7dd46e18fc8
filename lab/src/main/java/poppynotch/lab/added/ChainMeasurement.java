package poppynotch.lab.added;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures what a chain of sidecars adds: the same calls go through as many servers in a row,
 * without sidecars and with one before each server. For the thread of the trial; it closes all that
 * it starts.
 */
final class ChainMeasurement {

    private static final int FORWARDER_ADDRESS_GROUP = 60;

    private final TrialEnvironment env;
    private final BlockPlayer player;
    private final AddedTimeFigures figures;
    private final List<QuickServer> servers = new ArrayList<>();
    private final List<DiscoveryStandIn> discoveries = new ArrayList<>();

    /** In the order in which calls go through them. */
    private final List<MeasuredSidecar> sidecars = new ArrayList<>();

    /** Addresses where the chains begin; null before their last servers are started. */
    private InetSocketAddress firstDirect;

    private InetSocketAddress firstBy;

    ChainMeasurement(TrialEnvironment env) {
        this.env = env;
        player = new BlockPlayer(env);
        figures = new AddedTimeFigures(env);
    }

    /**
     * Measures the chain of the plan.
     *
     * @throws IOException if a sidecar cannot be started or ends by itself
     */
    void measure() throws IOException {
        String key = "chain.hops" + env.plan().hops();
        env.reportProgress("%s: starting %d sidecars", key, env.plan().hops());
        HttpPool direct = null;
        HttpPool by = null;
        try {
            startChains();
            direct = env.callerPool(firstDirect);
            by = env.callerPool(firstBy);
            List<Block.Pair> pairs =
                    player.playPairs(
                            new BlockPlayer.Ways(direct, by, sidecars), env.plan().baseRate(), key);
            record(key, pairs);
        } finally {
            if (direct != null) {
                env.close(direct);
            }
            if (by != null) {
                env.close(by);
            }
            sidecars.forEach(MeasuredSidecar::close);
            discoveries.forEach(DiscoveryStandIn::close);
            servers.forEach(QuickServer::close);
        }
    }

    /** Starts both chains from the last server on, as each has to know the one behind it. */
    private void startChains() throws IOException {
        for (int i = env.plan().hops(); i > 0; i--) {
            firstDirect = startServer(firstDirect);
            List<InetSocketAddress> behind = List.of(startServer(firstBy));
            DiscoveryStandIn discovery = new DiscoveryStandIn(env.serverLoop(), behind);
            discoveries.add(discovery);
            MeasuredSidecar sidecar =
                    env.launcher().start(env.nextConfig(behind, discovery, null, false), false);
            sidecars.add(0, sidecar);
            firstBy = sidecar.address();
        }
    }

    private void record(String key, List<Block.Pair> pairs) {
        Map<String, Estimate> quantiles = figures.quantiles(pairs, key);
        String description =
                "at "
                        + CallsOutcome.number(env.plan().baseRate())
                        + " calls a second, of the whole chain";
        quantiles.forEach(
                (name, value) ->
                        env.outcome()
                                .add(
                                        key + "." + name,
                                        "ms",
                                        env.plan().hops(),
                                        value,
                                        description));
        figures.recordCounts(key, env.plan().hops(), pairs);
        env.reportProgress(
                "%s: added p50 %s, p99 %s ms",
                key,
                AddedTimeFigures.text(quantiles.get("added.p50")),
                AddedTimeFigures.text(quantiles.get("added.p99")));
    }

    /** A server of the chain; the last one, which has nothing behind it, answers by itself. */
    private InetSocketAddress startServer(InetSocketAddress behind) {
        QuickServer server =
                new QuickServer(
                        env.serverLoop(), behind == null ? null : env.serverPool(behind)::send);
        servers.add(server);
        return server.listen(FORWARDER_ADDRESS_GROUP, 1).get(0);
    }
}
