package poppynotch.wire;

/**
 * What a tenant has used so far.
 *
 * @param amount tokens or requests, as the tenant's quota counts, since the counting process
 *     started
 */
public record TenantUsage(String tenant, long amount) {}
