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
 * The edges, each present while it renews its lease, and the sums of what tenants use at all of
 * them. It does no I/O and is told the time.
 */
public final class EdgeDirectory {

    /** How long an edge counts after it last renewed its lease. */
    private static final long LEASE_MS = 3000;

    /** An edge polls several times in that, and core processes pass it on once at least. */
    private static final long REPORTING_MS = 800;

    private static final long FORGET_MS = 60_000;
    private static final long REFRESH_MS = 100;

    /** A view of an edge's place among all. */
    public record Place(int edges, int number) {}

    private static final class Edge {
        long incarnation;
        String address = "";
        long renewedMs;

        /** Renewed at this core process itself, not only at others. */
        long directMs = Long.MIN_VALUE / 2;

        /**
         * It has told all of its use here since it, or this process, started: what is not in {@code
         * used} was 0 then.
         */
        boolean whole;

        final Map<String, Long> used = new HashMap<>();
        final Map<String, Long> unrelayed = new HashMap<>();
    }

    private static final class Total {
        long amount;
        long version;
    }

    private final Map<String, Edge> edges = new TreeMap<>();
    private List<String> present = List.of();
    private int reporting;
    private List<String> addresses = List.of();
    private long refreshAtMs = Long.MIN_VALUE;
    private final Map<String, Total> totals = new HashMap<>();
    private long version;

    /**
     * An edge renews its lease here; the first time it tells all that it has used since its start.
     */
    public void renew(
            long nowMs, String name, long incarnation, String address, List<TenantUsage> usage) {
        Edge edge = edge(name, incarnation);
        edge.address = address;
        edge.renewedMs = nowMs;
        edge.directMs = nowMs;
        for (TenantUsage item : usage) {
            if (count(edge, item)) {
                edge.unrelayed.put(item.tenant(), item.amount());
            }
        }
        edge.whole = true;
    }

    /** Another core process tells of an edge's lease. */
    public void relayed(long nowMs, EdgeLease lease) {
        Edge known = edges.get(lease.name());
        long renewed = nowMs - lease.ageMs();
        if (known != null
                && known.incarnation != lease.incarnation()
                && renewed < known.renewedMs) {
            return;
        }
        Edge edge = edge(lease.name(), lease.incarnation());
        edge.renewedMs = Math.max(edge.renewedMs, renewed);
        edge.address = lease.address();
        lease.usage().forEach(item -> count(edge, item));
    }

    private Edge edge(String name, long incarnation) {
        if (!edges.containsKey(name)) {
            refreshAtMs = Long.MIN_VALUE;
        }
        Edge edge = edges.computeIfAbsent(name, key -> new Edge());
        if (edge.incarnation != incarnation) {
            edge.incarnation = incarnation;
            edge.whole = false;
            edge.used.clear();
            edge.unrelayed.clear();
        }
        return edge;
    }

    private boolean count(Edge edge, TenantUsage item) {
        Long known = edge.used.get(item.tenant());
        long before = known == null ? 0 : known;
        if (item.amount() <= before) {
            return false;
        }
        edge.used.put(item.tenant(), item.amount());
        if (known == null && !edge.whole) {
            // Used before this process could count: it is no use of now.
            return true;
        }
        Total total = totals.computeIfAbsent(item.tenant(), key -> new Total());
        total.amount += item.amount() - before;
        total.version = ++version;
        return true;
    }

    /** Leases renewed here since {@code sinceMs}, with the usage that others have not been told. */
    public List<EdgeLease> drainDirect(long nowMs, long sinceMs) {
        List<EdgeLease> direct = new ArrayList<>();
        edges.forEach(
                (name, edge) -> {
                    if (edge.directMs >= sinceMs) {
                        List<TenantUsage> usage = new ArrayList<>(edge.unrelayed.size());
                        edge.unrelayed.forEach(
                                (tenant, amount) -> usage.add(new TenantUsage(tenant, amount)));
                        edge.unrelayed.clear();
                        direct.add(
                                new EdgeLease(
                                        name,
                                        edge.incarnation,
                                        edge.address,
                                        (int) (nowMs - edge.directMs),
                                        usage));
                    }
                });
        return direct;
    }

    /** How many edges there are, and which of them one is, in the order of their names. */
    public Place place(long nowMs, String name) {
        refresh(nowMs);
        int found = Collections.binarySearch(present, name);
        return new Place(Math.max(1, present.size()), found >= 0 ? found : -found - 1);
    }

    /** How many edges have told their use lately, here or at another core process. */
    public int reporting(long nowMs) {
        refresh(nowMs);
        return reporting;
    }

    /** Names of the edges whose leases hold. */
    public List<String> present(long nowMs) {
        refresh(nowMs);
        return present;
    }

    /** Where the edges whose leases hold take datagrams; the same list while it has not changed. */
    public List<String> addresses(long nowMs) {
        refresh(nowMs);
        return addresses;
    }

    /** Walks through the leases now and then, not for each question. */
    private void refresh(long nowMs) {
        if (nowMs < refreshAtMs) {
            return;
        }
        refreshAtMs = nowMs + REFRESH_MS;
        List<String> names = new ArrayList<>();
        List<String> places = new ArrayList<>();
        reporting = 0;
        edges.forEach(
                (name, edge) -> {
                    if (nowMs - edge.renewedMs <= REPORTING_MS) {
                        reporting++;
                    }
                    if (nowMs - edge.renewedMs <= LEASE_MS) {
                        names.add(name);
                        if (!edge.address.isEmpty()) {
                            places.add(edge.address);
                        }
                    }
                });
        present = names;
        if (!places.equals(addresses)) {
            addresses = places;
        }
    }

    /** Grows with each change of a total. */
    public long usageVersion() {
        return version;
    }

    /** Totals that have changed after a version. */
    public List<TenantUsage> totalsSince(long since) {
        List<TenantUsage> changed = new ArrayList<>();
        totals.forEach(
                (tenant, total) -> {
                    if (total.version > since) {
                        changed.add(new TenantUsage(tenant, total.amount));
                    }
                });
        return changed;
    }

    /** Forgets edges that have been away for long. */
    public void tick(long nowMs) {
        edges.values().removeIf(edge -> nowMs - edge.renewedMs > FORGET_MS);
    }
}
