package poppynotch.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import poppynotch.register.RegisterValue;
import poppynotch.wire.DepartureRetention;
import poppynotch.wire.Message;
import poppynotch.wire.RolloutReport;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.TenantUsage;

/**
 * An edge's client of the control plane. It long-polls two replicas concurrently, so that updates
 * still arrive while one of them hangs, merges their replies and passes the result to a {@link
 * Listener}.
 *
 * <p>It does no I/O itself and starts no threads: all calls, including those of the connector, must
 * come from one thread, on which the listener is called as well.
 */
public final class ControlClient {

    private static final int LINK_COUNT = 2;

    /** Receives the control plane's updates and supplies what the edge reports to it. */
    public interface Listener extends QuotaUsageTracker.Sink {

        /** Called with a configuration that is newer than {@link #receivedRevision}. */
        void onConfiguration(RegisterValue value);

        /** Called with all servers that are ready or draining when these have changed. */
        void onServersChanged(Collection<ServerRecord> servers);

        /**
         * Called for each reply with the position of this edge among all edges.
         *
         * @param edgeCount the number of edges, including this one
         * @param edgeNumber the index of this edge, starting at 0
         */
        void onEdgePosition(int edgeCount, int edgeNumber);

        /** Called with the datagram addresses of all edges, including this one, on a change. */
        void onEdgeAddressesChanged(List<String> addresses);

        /** Called when a reply confirms that all updates up to a time have been received. */
        void onConfirmed(long upToMs);

        /** This edge's reports on all running rollouts; empty if none is running. */
        List<RolloutReport> rolloutReports();

        /** The usage of each tenant at this edge since its start, in the tenant's unit. */
        Map<String, Long> usageSinceStart();

        /** The revision of the newest configuration received, -1 for none. */
        long receivedRevision();
    }

    /** Creates the polls of the links and applies the replies that they receive. */
    private final class LinkOwner implements ControlLink.Owner {

        @Override
        public void onConnected(ControlLink link) {
            quotaUsage.onConnected(link.index());
            directory.onConnected(link.index());
        }

        @Override
        public Message.Poll nextPoll(ControlLink link, long pollNumber) {
            List<TenantUsage> newUsage = takeUnreportedUsage(link.reportedUsage());
            return new Message.Poll(
                    edgeName,
                    incarnation,
                    ownAddress,
                    pollNumber,
                    listener.receivedRevision(),
                    link.replicaIncarnation(),
                    link.registryVersion(),
                    newUsage,
                    link.rolloutReportSchedule().due(clock.getAsLong(), listener.rolloutReports()));
        }

        @Override
        public void onReply(ControlLink link, Message.PollReply reply, long currentMs) {
            long nowMs = clock.getAsLong();
            replicas.onListed(nowMs, reply.controlAddresses());
            // The position must be known before the first configuration is applied: the initial
            // share of each quota depends on it.
            listener.onEdgePosition(reply.edgeCount(), reply.edgeIndex());
            if (reply.value() != null && reply.value().revision() > listener.receivedRevision()) {
                listener.onConfiguration(reply.value());
            }
            listener.onConfirmed(currentMs);
            updateServers(link, reply, currentMs);
            if (!reply.edgeAddresses().isEmpty()) {
                listener.onEdgeAddressesChanged(reply.edgeAddresses());
            }
            quotaUsage.onReport(
                    nowMs,
                    currentMs,
                    link.index(),
                    reply.reportingEdgeCount(),
                    reply.usage(),
                    link.reportedUsage());
        }

        private void updateServers(ControlLink link, Message.PollReply reply, long currentMs) {
            boolean distrustsKnownServers =
                    currentMs - serversCurrentMs > DepartureRetention.MAX_TRUSTED_ABSENCE_MS;
            if (distrustsKnownServers && !reply.fullRegistry()) {
                // The next poll requests all servers, as the changes lack removed tombstones.
                link.updateRegistryPosition(0, 0);
                return;
            }
            if (distrustsKnownServers) {
                directory.discardLists();
            }
            serversCurrentMs = Math.max(serversCurrentMs, currentMs);
            if (directory.update(
                    link.index(),
                    reply.fullRegistry(),
                    reply.registryComplete() || distrustsKnownServers,
                    reply.servers())) {
                listener.onServersChanged(directory.servers());
            }
            link.updateRegistryPosition(reply.controlIncarnation(), reply.registryVersion());
        }

        @Override
        public void onFailed(String replica) {
            replicas.onFailed(clock.getAsLong(), replica);
        }
    }

    private final String edgeName;
    private final String ownAddress;
    private final long incarnation;
    private final LongSupplier clock;
    private final Listener listener;
    private final ServerDirectory directory = new ServerDirectory();
    private final ControlPlaneReplicas replicas;
    private final QuotaUsageTracker quotaUsage;
    private final List<ControlLink> links = new ArrayList<>();

    /** The latest time up to which a replica has confirmed the known servers. */
    private long serversCurrentMs;

    /**
     * Creates a client, which connects at its first tick.
     *
     * @param edgeName the edge's name in the fleet
     * @param ownAddress {@code HOST:PORT} where the edge receives other edges' datagrams
     * @param incarnation unique to this process of the edge
     * @param clock milliseconds on a monotonic clock
     */
    public ControlClient(
            String edgeName,
            String ownAddress,
            long incarnation,
            LongSupplier clock,
            ControlConnector connector,
            Listener listener) {
        this.edgeName = edgeName;
        this.ownAddress = ownAddress;
        this.incarnation = incarnation;
        this.clock = clock;
        this.listener = listener;
        replicas = new ControlPlaneReplicas(new SplittableRandom(incarnation));
        quotaUsage = new QuotaUsageTracker(listener, ControlLink.REPLY_TIMEOUT_MS);
        serversCurrentMs = clock.getAsLong();
        LinkOwner owner = new LinkOwner();
        for (int index = 0; index < LINK_COUNT; index++) {
            links.add(new ControlLink(index, connector, clock, owner));
        }
    }

    /** Adds seeds: control addresses of replicas that never expire. */
    public void addSeeds(List<String> seeds) {
        replicas.addSeeds(seeds);
    }

    /** Removes a server because another one responds at its address. */
    public void onMisdirected(String serverId) {
        if (directory.markLeft(serverId)) {
            listener.onServersChanged(directory.servers());
        }
    }

    /**
     * Disconnects from replicas that do not reply and connects disconnected links. Called several
     * times a second.
     */
    public void tick() {
        long nowMs = clock.getAsLong();
        for (ControlLink link : links) {
            link.checkTimeout(nowMs);
            if (link.isDisconnected()) {
                selectReplica(nowMs).ifPresent(replica -> link.connect(nowMs, replica));
            }
        }
    }

    /** Selects a replica for a link; a recently failed one only if no link is connected. */
    private Optional<String> selectReplica(long nowMs) {
        Set<String> inUse = new HashSet<>();
        links.forEach(link -> inUse.add(link.replica()));
        boolean anyConnected = links.stream().anyMatch(ControlLink::isConnected);
        return replicas.select(nowMs, inUse, !anyConnected);
    }

    /** Returns the tenants' usage that is not reported yet, and marks it as reported. */
    private List<TenantUsage> takeUnreportedUsage(Map<String, Long> reportedUsage) {
        List<TenantUsage> newUsage = new ArrayList<>();
        listener.usageSinceStart()
                .forEach(
                        (tenant, amount) -> {
                            if (amount > reportedUsage.getOrDefault(tenant, 0L)) {
                                reportedUsage.put(tenant, amount);
                                newUsage.add(new TenantUsage(tenant, amount));
                            }
                        });
        return newUsage;
    }
}
