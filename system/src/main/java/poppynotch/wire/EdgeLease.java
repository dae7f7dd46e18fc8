package poppynotch.wire;

import java.util.List;

/**
 * An edge's lease as a control-plane replica knows it.
 *
 * @param name of the edge
 * @param incarnation differs between incarnations of the edge's process
 * @param address where it receives other edges' datagrams
 * @param ageMs time since the edge last renewed the lease
 * @param usage what tenants have used at this edge since its start
 */
public record EdgeLease(
        String name, long incarnation, String address, int ageMs, List<TenantUsage> usage) {}
