package poppynotch.router;

import java.util.Optional;
import poppynotch.config.Tenant;
import poppynotch.pool.QuotaBuckets;

/**
 * The quota acquired from a tenant's bucket for one request. Immutable.
 *
 * @param tenant the tenant that is charged; empty if the route is anonymous or the configuration
 *     has no tenants
 * @param amount requests or tokens, in the tenant's unit; 0 without a tenant
 */
record QuotaReservation(Optional<Tenant> tenant, long amount) {

    /** The reservation of a request that is not charged to a tenant. */
    static final QuotaReservation NONE = new QuotaReservation(Optional.empty(), 0);

    /** Returns the amount to the tenant's bucket; only for a request that was not executed. */
    void refund(long nowMs, QuotaBuckets quotas) {
        tenant.ifPresent(charged -> quotas.refund(nowMs, charged, amount));
    }
}
