package poppynotch.balancer;

/** Chooses the slot for a call's next attempt: the first in {@link SlotOrder} that it may use. */
final class SlotSelector {

    private final SlotPool pool;
    private final SlowStart slowStart;
    private final CascadeGuard cascadeGuard;
    private final RequestClassTable requestClasses;

    SlotSelector(
            SlotPool pool,
            SlowStart slowStart,
            CascadeGuard cascadeGuard,
            RequestClassTable requestClasses) {
        this.pool = pool;
        this.slowStart = slowStart;
        this.cascadeGuard = cascadeGuard;
        this.requestClasses = requestClasses;
    }

    /** The first preferred slot, else the first permitted one; null if there is none. */
    Slot select(double nowMs, CallRecord call) {
        Slot preferred =
                pool.findFirst(
                        slot -> isPermitted(nowMs, call, slot) && isPreferred(call, slot.server));
        return preferred != null
                ? preferred
                : pool.findFirst(slot -> isPermitted(nowMs, call, slot));
    }

    private boolean isPermitted(double nowMs, CallRecord call, Slot slot) {
        boolean isFirstAttempt = call.attempts.isEmpty();
        return slowStart.admits(nowMs, slot)
                && !(isFirstAttempt && cascadeGuard.blocks(slot))
                && call.mayRepeatAt(slot.server);
    }

    /**
     * Whether a server is a good choice: not risky, staged as the call wants, and not tried yet.
     */
    private boolean isPreferred(CallRecord call, TrackedServer server) {
        boolean wantsStaged = call.staged && call.attempts.isEmpty();
        return !isRisky(call, server) && server.staged == wantsStaged && !call.hasTried(server);
    }

    /**
     * Calls that cannot be retried must not test the health of a server, if there are calls that
     * can.
     */
    private boolean isRisky(CallRecord call, TrackedServer server) {
        return (server.onProbation || server.nextCallDue)
                && call.requestClass.idempotency() == Idempotency.ONCE
                && requestClasses.hasRepeatableClass();
    }
}
