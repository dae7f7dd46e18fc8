package poppynotch.wire;

/**
 * A tenant's usage of its quota.
 *
 * @param amount tokens or requests, whichever the tenant's quota counts, since the counting process
 *     started
 */
public record TenantUsage(String tenant, long amount) {}
