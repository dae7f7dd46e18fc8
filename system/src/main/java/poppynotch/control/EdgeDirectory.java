package poppynotch.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import poppynotch.wire.EdgeLease;
import poppynotch.wire.TenantUsage;

/**
 * The edges (router processes), each present while it renews its lease, and the tenants' total
 * usage at all edges. An edge renews its lease with its long polls at one replica, which relays the
 * lease to the other replicas with its heartbeats.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in.
 */
public final class EdgeDirectory {

    /** How long an edge counts as present after it last renewed its lease. */
    private static final long LEASE_MS = 3000;

    /**
     * An edge counts as reporting if it renewed its lease within this time, in which it polls
     * several times and replicas relay the lease at least once.
     */
    private static final long REPORTING_WINDOW_MS = 800;

    private static final long ABSENT_EDGE_RETENTION_MS = 60_000;

    /** How long the lists of present edges are reused before they are computed again. */
    private static final long CACHE_MS = 100;

    private static final long REFRESH_NOW = Long.MIN_VALUE;

    /** Earlier than any time, and far enough from the limits that differences don't overflow. */
    private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

    /**
     * An edge's rank among all edges that are present.
     *
     * @param edgeCount how many are present, at least 1
     * @param index the edge's index in the order of their names, from 0
     */
    public record EdgeRank(int edgeCount, int index) {}

    private static final class Edge {
        private long incarnation;
        private String address = "";
        private long renewedMs;

        /** When it last renewed at this replica; renewals at other replicas do not count. */
        private long renewedHereMs = LONG_AGO_MS;

        /**
         * Whether the edge has sent its complete usage to this process: a tenant that is missing in
         * {@link #usage} had used nothing at that time.
         */
        private boolean usageComplete;

        /** Each tenant's usage at the edge since the start of the edge's incarnation. */
        private final Map<String, Long> usage = new HashMap<>();

        /** Changes of {@link #usage} reported here and not relayed to other replicas yet. */
        private final Map<String, Long> unrelayedUsage = new HashMap<>();
    }

    private static final class TenantTotal {
        private long amount;

        /** The directory's usage version at the latest change. */
        private long version;
    }

    /** By name; sorted, so that all replicas compute the same ranks. */
    private final Map<String, Edge> edges = new TreeMap<>();

    private List<String> liveNames = List.of();
    private List<String> liveAddresses = List.of();
    private List<Long> liveIncarnations = List.of();
    private int reportingCount;
    private long nextRefreshMs = REFRESH_NOW;
    private final Map<String, TenantTotal> totals = new HashMap<>();
    private long usageVersion;

    // ---- leases ----

    /**
     * Renews the lease of an edge that polls this replica.
     *
     * @param address where the edge receives datagrams, {@code HOST:PORT}
     * @param usage tenants' usage at the edge since its start, as far as changed since its last
     *     report; its first report contains all
     */
    public void renewLease(
            long nowMs, String name, long incarnation, String address, List<TenantUsage> usage) {
        Edge edge = edgeOfIncarnation(name, incarnation);
        edge.address = address;
        edge.renewedMs = nowMs;
        edge.renewedHereMs = nowMs;
        for (TenantUsage tenantUsage : usage) {
            if (recordUsage(edge, tenantUsage)) {
                edge.unrelayedUsage.put(tenantUsage.tenant(), tenantUsage.amount());
            }
        }
        edge.usageComplete = true;
    }

    /** Applies a lease that another replica relays; one of an earlier incarnation is ignored. */
    public void onRelayedLease(long nowMs, EdgeLease lease) {
        Edge known = edges.get(lease.name());
        long renewedMs = nowMs - lease.ageMs();
        if (known != null
                && known.incarnation != lease.incarnation()
                && renewedMs < known.renewedMs) {
            return;
        }
        Edge edge = edgeOfIncarnation(lease.name(), lease.incarnation());
        edge.renewedMs = Math.max(edge.renewedMs, renewedMs);
        edge.address = lease.address();
        lease.usage().forEach(tenantUsage -> recordUsage(edge, tenantUsage));
    }

    private Edge edgeOfIncarnation(String name, long incarnation) {
        if (!edges.containsKey(name)) {
            nextRefreshMs = REFRESH_NOW;
        }
        Edge edge = edges.computeIfAbsent(name, key -> new Edge());
        if (edge.incarnation != incarnation) {
            edge.incarnation = incarnation;
            edge.usageComplete = false;
            edge.usage.clear();
            edge.unrelayedUsage.clear();
        }
        return edge;
    }

    /**
     * Removes and returns the leases renewed at this replica since {@code sinceMs}, with the usage
     * that has not been relayed yet.
     */
    public List<EdgeLease> drainDirectLeases(long nowMs, long sinceMs) {
        List<EdgeLease> leases = new ArrayList<>();
        edges.forEach(
                (name, edge) -> {
                    if (edge.renewedHereMs >= sinceMs) {
                        leases.add(drainLease(nowMs, name, edge));
                    }
                });
        return leases;
    }

    private static EdgeLease drainLease(long nowMs, String name, Edge edge) {
        List<TenantUsage> usage = new ArrayList<>(edge.unrelayedUsage.size());
        edge.unrelayedUsage.forEach((tenant, amount) -> usage.add(new TenantUsage(tenant, amount)));
        edge.unrelayedUsage.clear();
        int ageMs = (int) (nowMs - edge.renewedHereMs);
        return new EdgeLease(name, edge.incarnation, edge.address, ageMs, usage);
    }

    /** Removes edges that did not renew their lease for {@value #ABSENT_EDGE_RETENTION_MS} ms. */
    public void tick(long nowMs) {
        edges.values().removeIf(edge -> nowMs - edge.renewedMs > ABSENT_EDGE_RETENTION_MS);
    }

    // ---- present edges ----

    /** The rank of an edge; for one that is not present, the rank that it would have. */
    public EdgeRank rankOf(long nowMs, String name) {
        refresh(nowMs);
        int found = Collections.binarySearch(liveNames, name);
        return new EdgeRank(Math.max(1, liveNames.size()), found >= 0 ? found : -found - 1);
    }

    /** The number of edges that have recently reported their usage to any replica. */
    public int reportingCount(long nowMs) {
        refresh(nowMs);
        return reportingCount;
    }

    /** Names of the edges that are present. */
    public List<String> liveNames(long nowMs) {
        refresh(nowMs);
        return liveNames;
    }

    /**
     * The addresses at which the present edges receive datagrams; the same list object while they
     * have not changed.
     */
    public List<String> liveAddresses(long nowMs) {
        refresh(nowMs);
        return liveAddresses;
    }

    /** The incarnations of the edges that are present and have an address, by their names. */
    List<Long> liveIncarnations(long nowMs) {
        refresh(nowMs);
        return liveIncarnations;
    }

    /** Computes the lists of present edges if they are older than {@link #CACHE_MS}. */
    private void refresh(long nowMs) {
        if (nowMs < nextRefreshMs) {
            return;
        }
        nextRefreshMs = nowMs + CACHE_MS;
        List<String> names = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        List<Long> incarnations = new ArrayList<>();
        reportingCount = 0;
        edges.forEach(
                (name, edge) -> {
                    long ageMs = nowMs - edge.renewedMs;
                    if (ageMs <= REPORTING_WINDOW_MS) {
                        reportingCount++;
                    }
                    if (ageMs <= LEASE_MS) {
                        names.add(name);
                        if (!edge.address.isEmpty()) {
                            addresses.add(edge.address);
                            incarnations.add(edge.incarnation);
                        }
                    }
                });
        liveNames = names;
        liveIncarnations = incarnations;
        if (!addresses.equals(liveAddresses)) {
            liveAddresses = addresses;
        }
    }

    // ---- usage ----

    private boolean recordUsage(Edge edge, TenantUsage tenantUsage) {
        Long known = edge.usage.get(tenantUsage.tenant());
        long before = known == null ? 0 : known;
        if (tenantUsage.amount() <= before) {
            return false;
        }
        edge.usage.put(tenantUsage.tenant(), tenantUsage.amount());
        if (known == null && !edge.usageComplete) {
            // A first amount may include usage from before this process started: it is not counted.
            return true;
        }
        TenantTotal total = totals.computeIfAbsent(tenantUsage.tenant(), key -> new TenantTotal());
        total.amount += tenantUsage.amount() - before;
        usageVersion++;
        total.version = usageVersion;
        return true;
    }

    /** The version of the tenants' totals, which grows with each change of one. */
    public long usageVersion() {
        return usageVersion;
    }

    /**
     * The tenants' totals that have changed after a version, counted since this process started.
     */
    public List<TenantUsage> totalsSince(long sinceVersion) {
        List<TenantUsage> changed = new ArrayList<>();
        totals.forEach(
                (tenant, total) -> {
                    if (total.version > sinceVersion) {
                        changed.add(new TenantUsage(tenant, total.amount));
                    }
                });
        return changed;
    }
}
