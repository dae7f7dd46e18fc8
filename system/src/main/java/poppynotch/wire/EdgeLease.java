package poppynotch.wire;

import java.util.List;

/**
 * An edge's lease as a core process knows it.
 *
 * @param incarnation differs between lives of the edge's process
 * @param address where it takes other edges' datagrams
 * @param ageMs time since the edge last renewed it
 * @param usage what tenants have used at this edge since its start
 */
public record EdgeLease(
        String name, long incarnation, String address, int ageMs, List<TenantUsage> usage) {}
