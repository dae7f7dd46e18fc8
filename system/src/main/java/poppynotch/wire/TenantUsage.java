package poppynotch.wire;

/**
 * A tenant's usage of its quota.
 *
 * @param amount tokens or requests, depending on the tenant's unit, since the counting process
 *     started
 */
public record TenantUsage(String tenant, long amount) {}
