package poppynotch.router;

import java.util.Optional;
import poppynotch.config.Tenant;
import poppynotch.pool.QuotaBuckets;

/**
 * The quota that was taken from a tenant's bucket for one request. Immutable.
 *
 * @param tenant who is charged; empty where the route or the configuration has no tenants
 * @param amount requests or tokens, in the tenant's unit; 0 without a tenant
 */
record QuotaReservation(Optional<Tenant> tenant, long amount) {

    /** The reservation of a request that no tenant is charged for. */
    static final QuotaReservation NONE = new QuotaReservation(Optional.empty(), 0);

    /** Returns the amount to the tenant's bucket: the request certainly was not executed. */
    void refund(long nowMs, QuotaBuckets quotas) {
        tenant.ifPresent(charged -> quotas.refund(nowMs, charged, amount));
    }
}
