package poppynotch.router;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.config.ConfigResult;
import poppynotch.register.RegisterValue;
import poppynotch.rollout.MalformedRolloutsException;
import poppynotch.rollout.RolloutTableCodec;
import poppynotch.wire.RolloutReport;
import poppynotch.wire.ServerRecord;

/**
 * Applies the control plane's updates to the {@link FleetState} of an edge. Called by the {@link
 * ControlClient} on the edge's event loop; the generation and the known server ids may be read from
 * any thread.
 */
final class ControlUpdateHandler implements ControlClient.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(ControlUpdateHandler.class);

    private final EdgeContext edge;
    private final PromptGossip promptGossip;
    private final Function<byte[], ConfigResult> configReader;
    private long revision = -1;
    private volatile long generation;
    private volatile Set<String> knownServerIds = Set.of();

    /**
     * Creates the handler of an edge that has no configuration yet.
     *
     * @param configReader reads encoded configurations
     */
    ControlUpdateHandler(
            EdgeContext edge,
            PromptGossip promptGossip,
            Function<byte[], ConfigResult> configReader) {
        this.edge = edge;
        this.promptGossip = promptGossip;
        this.configReader = configReader;
    }

    /** The generation of the active configuration, 0 if there is none. Readable from any thread. */
    long generation() {
        return generation;
    }

    /** The ids of all servers that are ready or draining. Readable from any thread. */
    Set<String> knownServerIds() {
        return knownServerIds;
    }

    @Override
    public void onConfiguration(RegisterValue value) {
        // An unreadable configuration counts as received too, so that it is not sent repeatedly.
        revision = value.revision();
        applyRollouts(value);
        ConfigResult result = configReader.apply(value.document());
        if (result instanceof ConfigResult.Valid valid) {
            edge.fleetState().configure(edge.nowMs(), valid.config());
            generation = value.generation();
            LOG.info("Configuration applied: {}", value);
        } else {
            LOG.error("Configuration ignored, not readable: {}, result={}", value, result);
        }
    }

    private void applyRollouts(RegisterValue value) {
        if (value.rollouts().length == 0) {
            // No rollout is recorded yet, or the replica runs an earlier version that omits them.
            return;
        }
        try {
            edge.fleetState()
                    .applyRollouts(RolloutTableCodec.decode(value.rollouts()), value.revision());
        } catch (MalformedRolloutsException e) {
            LOG.error("Rollouts ignored, not readable: {}, cause={}", value, e.getMessage());
        }
    }

    @Override
    public void onConfirmed(long upToMs) {
        edge.fleetState().versions().onConfirmed(upToMs);
    }

    @Override
    public List<RolloutReport> rolloutReports() {
        return edge.fleetState().rolloutOutcomes().reports();
    }

    @Override
    public void onServersChanged(Collection<ServerRecord> servers) {
        edge.fleetState().updateServers(servers);
        knownServerIds = servers.stream().map(ServerRecord::id).collect(Collectors.toSet());
    }

    @Override
    public void onEdgePosition(int edgeCount, int edgeNumber) {
        long nowMs = edge.nowMs();
        edge.fleetState()
                .updateEdgePosition(
                        nowMs, edgeCount, edgeNumber, promptGossip.receivedFraction(nowMs));
    }

    @Override
    public void onUsageByOthers(
            long upToMs, Map<String, Long> othersUsage, int reportingEdges, boolean continuous) {
        edge.fleetState()
                .quotas()
                .onUpdate(edge.nowMs(), upToMs, othersUsage, reportingEdges, continuous);
    }

    @Override
    public Map<String, Long> usageSinceStart() {
        return edge.fleetState().quotas().useToReport(edge.nowMs());
    }

    @Override
    public long receivedRevision() {
        return revision;
    }

    @Override
    public void onEdgeAddressesChanged(List<String> addresses) {
        promptGossip.updatePeers(addresses);
    }
}
