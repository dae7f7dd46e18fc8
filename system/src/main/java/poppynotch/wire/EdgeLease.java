package poppynotch.wire;

import java.util.List;

/**
 * A control-plane replica's view of an edge's lease.
 *
 * @param name name of the edge
 * @param incarnation identifies the process of the edge
 * @param address address at which the edge receives other edges' datagrams
 * @param ageMs time since the edge last renewed the lease
 * @param usage usage of the tenants at this edge since its start
 */
public record EdgeLease(
        String name, long incarnation, String address, int ageMs, List<TenantUsage> usage) {}
